#include "kernel/result.h"

#include <iostream>

int main()
{
    for (const quincefall::result_info &row : quincefall::resultTable())
        std::cout << int(row.code) << ' ' << row.name << '\n';
    return 0;
}
