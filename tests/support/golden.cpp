#include "support/golden.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace quincefall::testing {
namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void reportFirstDifference(std::string_view name, const std::string &expected,
                           const std::string &actual)
{
    std::istringstream expectedLines(expected);
    std::istringstream actualLines(actual);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool hasExpected = bool(std::getline(expectedLines, expectedLine));
        const bool hasActual = bool(std::getline(actualLines, actualLine));
        if (!hasExpected && !hasActual)
            return;
        if (hasExpected != hasActual || expectedLine != actualLine) {
            BOOST_ERROR(name << ":" << number
                             << "\n  expected: " << (hasExpected ? expectedLine : "<end of file>")
                             << "\n  actual:   " << (hasActual ? actualLine : "<end of file>"));
            return;
        }
    }
}

} // namespace

void checkGolden(std::string_view name, std::string_view actual)
{
    const std::filesystem::path path = std::filesystem::path(GOLDEN_FOLDER) / name;
    if (std::getenv("QUINCEFALL_UPDATE_GOLDEN") != nullptr) {
        BOOST_REQUIRE_MESSAGE(std::getenv("CI") == nullptr, "golden files are not updated in CI");
        std::filesystem::create_directories(path.parent_path());
        std::ofstream(path, std::ios::binary) << actual;
        return;
    }
    BOOST_REQUIRE_MESSAGE(std::filesystem::exists(path), "missing golden file " << path);
    const std::string expected = readFile(path);
    if (expected != actual)
        reportFirstDifference(name, expected, std::string(actual));
    BOOST_TEST((expected == actual));
}

} // namespace quincefall::testing
