#include <iostream>

int main()
{
    std::cout << "standin\n";
    return 0;
}
