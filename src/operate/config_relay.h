#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace quincefall {

class config_service;
class peer_mesh;
class timeline;

/// Replicates configuration records between hosts: a record that one host has read from the log
/// soon comes into force on all, even while the log is unreachable. A host takes from its peers
/// only records and states that are newer than its own.
class config_relay
{
public:
    struct dependencies
    {
        boost::asio::io_context &context;
        peer_mesh &mesh;
        config_service &config;
        timeline &events;
    };

    static std::unique_ptr<config_relay> makeConfigRelay(dependencies needs);
    ~config_relay();

    /// Registers the handler for requests of peers.
    void start();
    void stop();

    /// Handles the report that @p host has all records below @p offset in force. Fetches those that
    /// this host lacks. If it has the same records and the log is unreachable, it becomes ready.
    void handlePeerOffset(const std::string &host, std::uint64_t offset);

private:
    struct state;
    explicit config_relay(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
