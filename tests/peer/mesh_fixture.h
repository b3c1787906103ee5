#pragma once

#include "peer/peer_mesh.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quincefall::testing {

/// Time after which runUntil() fails.
constexpr seconds conditionTimeout{20};

/// Runs @p context until @p condition holds; fails the test after conditionTimeout.
inline void runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + conditionTimeout;
    context.restart();
    while (!condition() && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(milliseconds(20));
    BOOST_REQUIRE(condition());
}

using adjustment = std::function<void(peer_mesh::options &)>;

/// A mesh on a free loopback port; @p adjust may change its options.
inline std::unique_ptr<peer_mesh> makeMesh(boost::asio::io_context &context,
                                           const std::string &name, const adjustment &adjust = {})
{
    peer_mesh::options settings;
    settings.hostName = name;
    settings.listen = {"127.0.0.1", 0};
    settings.secret = "fleet secret";
    if (adjust)
        adjust(settings);
    auto mesh = peer_mesh::makePeerMesh(context, settings);
    BOOST_REQUIRE(mesh.has_value());
    return std::move(*mesh);
}

using pending_answer = std::optional<result<std::string>>;

/// Starts a call; the returned object is set when it ends.
inline std::shared_ptr<pending_answer> startCall(boost::asio::io_context &context, peer_mesh &mesh,
                                                 const std::string &host, const std::string &path,
                                                 const std::string &body,
                                                 milliseconds timeout = milliseconds(60000))
{
    auto outcome = std::make_shared<pending_answer>();
    boost::asio::co_spawn(context, mesh.call(host, path, body, timeout),
                          [outcome](const std::exception_ptr &thrown, result<std::string> value) {
                              *outcome = thrown
                                  ? result<std::string>(makeError(result_code::internal, "thrown"))
                                  : std::move(value);
                          });
    return outcome;
}

inline result<std::string> callAndWait(boost::asio::io_context &context, peer_mesh &mesh,
                                       const std::string &host, const std::string &path,
                                       const std::string &body,
                                       milliseconds timeout = milliseconds(60000))
{
    const auto outcome = startCall(context, mesh, host, path, body, timeout);
    runUntil(context, [&outcome] { return outcome->has_value(); });
    return **outcome;
}

/// Number of the error in @p value, or `ok`.
inline int codeOf(const result<std::string> &value)
{
    return static_cast<int>(value ? result_code::ok : value.error().code);
}

inline int number(result_code code)
{
    return static_cast<int>(code);
}

} // namespace quincefall::testing
