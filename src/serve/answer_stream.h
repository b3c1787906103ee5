#pragma once

#include "kernel/async_signal.h"
#include "policy/answer_assembly.h"
#include "serve/problem.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace quincefall {

/// The growing answer to one request, shared by the coroutine that fills it and those that send it
/// to callers.
struct answer_stream
{
    explicit answer_stream(const boost::asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    std::string organisation;
    std::string model;
    std::uint64_t digest = 0; ///< Of the request.
    answer_assembly assembly;
    std::optional<problem> failure; ///< Set when no whole answer will come.
    int readers = 0; ///< Callers that wait for it.
    std::uint64_t peerReads = 0; ///< Reads by hosts to which its caller came back.
    std::shared_ptr<bool> isAbandoned = std::make_shared<bool>(false);
    async_signal changed;

    bool isDone() const { return assembly.isComplete || failure.has_value(); }
};

} // namespace quincefall
