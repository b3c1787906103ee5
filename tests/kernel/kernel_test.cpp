#include "kernel/kernel.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace quincefall;

namespace {

struct recorder
{
    std::vector<std::string> events;
};

kernel::hooks recordingHooks(recorder &log, const std::string &name, bool fails = false)
{
    return {[&log, name, fails]() -> result<void> {
                log.events.push_back("start " + name);
                if (fails)
                    return makeError(result_code::internal, name);
                return {};
            },
            [&log, name] { log.events.push_back("stop " + name); }};
}

} // namespace

BOOST_AUTO_TEST_SUITE(kernel_test)

BOOST_AUTO_TEST_CASE(servicesStartInOrderAndStopInReverse)
{
    recorder log;
    auto k = kernel::makeKernel();
    k->add("first", std::make_shared<int>(1), recordingHooks(log, "first"));
    k->add("second", std::make_shared<int>(2), recordingHooks(log, "second"));
    BOOST_TEST(k->start().has_value());
    BOOST_TEST(k->find<int>("second") == 2);
    k->stop();
    k->stop();
    const std::vector<std::string> expected{"start first", "start second", "stop second",
                                            "stop first"};
    BOOST_TEST(log.events == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(failedStartStopsEarlierServices)
{
    recorder log;
    auto k = kernel::makeKernel();
    k->add("first", std::make_shared<int>(1), recordingHooks(log, "first"));
    k->add("second", std::make_shared<int>(2), recordingHooks(log, "second", true));
    BOOST_TEST(!k->start().has_value());
    const std::vector<std::string> expected{"start first", "start second", "stop first"};
    BOOST_TEST(log.events == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
