#pragma once

#include "kernel/clock.h"
#include "serve/answer_stream.h"
#include "serve/caller_directory.h"
#include "serve/permit_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quincefall {

class config_service;
class http_client;
class http_exchange;
class peer_mesh;
class metrics;
class timeline;

/// Serves chat completions: acquires a permit, streams the engine's answer to the caller, and
/// resumes the answer on another engine when one fails.
class chat_service
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        http_client &client;
        permit_client &permits;
        config_service &config;
        timeline &events;
        peer_mesh &mesh;
        std::function<std::vector<std::string>()> liveHosts;
        clock_source clock;
        std::string hostName;
        std::uint64_t incarnation = 0; ///< Keeps generated request ids unique across restarts.
        metrics &meters;
        std::string region;
    };

    static std::unique_ptr<chat_service> makeChatService(dependencies needs);
    ~chat_service();

    /// Starts to serve running answers to peers.
    void start();

    /// Handles one POST /v1/chat/completions of @p caller.
    boost::asio::awaitable<void> handle(http_exchange &exchange, caller_identity caller);

private:
    struct state;
    static std::shared_ptr<answer_stream> findActive(const std::weak_ptr<state> &watched,
                                                     const std::string &id);
    explicit chat_service(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
