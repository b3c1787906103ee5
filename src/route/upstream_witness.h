#pragma once

#include "route/upstream_paths.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quincefall {

/// A second connection to an upstream while it sends a stream that only the end of its connection
/// will end. An upstream that is killed closes both, even if another process listens at its address
/// at once.
class upstream_witness
{
public:
    static std::shared_ptr<upstream_witness>
    makeUpstreamWitness(std::shared_ptr<upstream_paths> paths, upstream_entry entry);
    ~upstream_witness();

    /// What shows whether the upstream's process has ended since the witness was made. To be called
    /// once the stream has ended. Where no second connection was open then, this is what
    /// checkListening() finds now.
    boost::asio::awaitable<life_sign> lookForLife();

private:
    struct state;
    explicit upstream_witness(std::shared_ptr<state> shared);
    std::shared_ptr<state> m_state;
};

} // namespace quincefall
