#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace quincefall {

class config_service;
class peer_mesh;
class timeline;

/// Passes configuration records between hosts, so that what one host has read from the log is soon
/// in force on all, even while the log is down. A host adopts only higher offsets.
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

    /// Begins to answer peers.
    void start();
    void stop();

    /// @p host has everything below @p offset in force; asks it for what this host lacks.
    void handlePeerOffset(const std::string &host, std::uint64_t offset);

private:
    struct state;
    explicit config_relay(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
