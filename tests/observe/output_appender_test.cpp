#include "observe/log_setup.h"
#include "observe/output_appender.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace quincefall {
namespace {

/// Redirects standard output to a pipe that is read only by readSome().
class captured_output
{
public:
    captured_output()
        : m_saved(::dup(STDOUT_FILENO))
    {
        BOOST_TEST_REQUIRE(::pipe(m_pipe.data()) == 0);
        ::dup2(m_pipe[1], STDOUT_FILENO);
    }

    ~captured_output()
    {
        restore();
        ::close(m_pipe[0]);
    }

    void restore()
    {
        if (m_saved < 0)
            return;
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        ::close(m_pipe[1]);
        m_saved = -1;
    }

    std::string readSome() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t size = ::read(m_pipe[0], text.data(), text.size());
        text.resize(std::size_t(std::max<ssize_t>(0, size)));
        return text;
    }

private:
    int m_saved = -1;
    std::array<int, 2> m_pipe{};
};

BOOST_AUTO_TEST_SUITE(output_appender_tests)

BOOST_AUTO_TEST_CASE(a_stalled_reader_does_not_block_the_process)
{
    std::string first;
    std::string second;
    {
        captured_output output;
        BOOST_TEST_REQUIRE(setUpLog("stdout", "info").has_value());
        for (int line = 0; line < 2'000; ++line)
            logInfo("line", {{"padding", std::string(100, 'x')}});
        first = output.readSome();
        logInfo("after");
        second = output.readSome();
    }
    BOOST_TEST(setUpLog("stderr", "info").has_value());
    BOOST_TEST(first.find("padding") != std::string::npos);
    BOOST_TEST(second.find("log lines dropped count=") != std::string::npos);
    BOOST_TEST(second.find("after") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_budget_limits_lines_and_refills)
{
    line_budget budget;
    instant now = instant{} + seconds(1);
    int written = 0;
    for (int line = 0; line < 10'000; ++line)
        written += tryWithdrawLine(budget, now) ? 1 : 0;
    BOOST_TEST(written == 3'000);
    now += seconds(1);
    for (int line = 0; line < 10'000; ++line)
        written += tryWithdrawLine(budget, now) ? 1 : 0;
    BOOST_TEST(written == 3'300);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace quincefall
