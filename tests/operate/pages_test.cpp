// Compares tables of the documentation with the code that they describe.

#include "kernel/result.h"
#include "operate/settings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

using namespace quincefall;

namespace {

std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(GOLDEN_FOLDER) + "/../../docs/" + name);
    BOOST_REQUIRE_MESSAGE(file, "docs/" + name + " is missing");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The first cells of the table rows below @p heading, without backquotes.
std::set<std::string> firstCells(const std::string &page, const std::string &heading)
{
    std::set<std::string> cells;
    std::istringstream lines(page.substr(page.find("\n## " + heading + "\n") + 1));
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line) && !line.starts_with("## ")) {
        if (line.starts_with("| `"))
            cells.insert(line.substr(3, line.find('`', 3) - 3));
    }
    return cells;
}

std::string describeRow(const result_info &row)
{
    return "| " + std::to_string(int(row.code)) + " | `" + std::string(row.name) + "` | "
        + std::to_string(row.httpStatus) + " | " + std::string(row.summary) + " |";
}

/// The valid keys of a settings section, taken from the message about an unknown key.
std::set<std::string> knownKeys(const std::string &yaml, const std::string &path)
{
    for (const settings_mistake &mistake : readSettings(yaml).mistakes) {
        if (mistake.key != path)
            continue;
        std::istringstream words(mistake.expected);
        const std::istream_iterator<std::string> begin(words);
        std::set<std::string> keys(begin, {});
        keys.erase("one");
        keys.erase("of");
        return keys;
    }
    BOOST_ERROR("no mistake reported for " + path);
    return {};
}

std::set<std::string> allSettings()
{
    std::set<std::string> found;
    for (const std::string &section : knownKeys("nothing: 1\n", "nothing")) {
        const std::string inner = section + ": {nothing: 1}\n";
        for (const std::string &key : knownKeys(inner, section + ".nothing"))
            found.insert(std::string(section).append(".").append(key));
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pages)

BOOST_AUTO_TEST_CASE(errorsPageListsEveryCodeAndNoOther)
{
    const std::string page = readPage("ERRORS.md");
    std::size_t rows = 0;
    for (std::size_t at = page.find("\n| "); at != std::string::npos;
         at = page.find("\n| ", at + 1))
        rows += std::isdigit(static_cast<unsigned char>(page[at + 3])) != 0 ? 1 : 0;
    BOOST_TEST(rows == resultTable().size());
    for (const result_info &row : resultTable())
        BOOST_TEST(page.find(describeRow(row)) != std::string::npos, describeRow(row));
}

BOOST_AUTO_TEST_CASE(operationsPageListsEverySettingAndNoOther)
{
    const auto documented = firstCells(readPage("OPERATIONS.md"), "Settings");
    const auto known = allSettings();
    BOOST_TEST(documented == known, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
