#pragma once

#include "kernel/async_signal.h"
#include "policy/answer_assembly.h"
#include "serve/problem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quincefall {

/// The answer to one request while it is being generated, shared by the coroutine that produces it
/// and those that send it to callers.
struct answer_stream
{
    explicit answer_stream(const boost::asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    std::string organisation;
    std::string model;
    std::uint64_t digest = 0; ///< Digest of the request; see chat_request.
    answer_assembly assembly;
    std::optional<problem> failure; ///< Set when the answer will not be completed.
    int readers = 0; ///< Connected callers that receive the answer.
    std::uint64_t peerReads = 0; ///< Reads by peers through which the caller reconnected.
    /// True once nobody reads the answer any more; ends its production.
    std::shared_ptr<bool> isAbandoned = std::make_shared<bool>(false);
    async_signal changed; ///< Notified after each change of the answer's content or state.

    bool isDone() const { return assembly.isComplete || failure.has_value(); }
};

} // namespace quincefall
