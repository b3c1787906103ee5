#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

class byte_share;

/// What a share is for.
enum class share_kind { request, answer };

/// Bounds the memory that a host spends on what its peers send, over all connections.
///
/// Each message that is collected has a share. When the shares hold more than the limit, some are
/// evicted until the others fit: for a request other requests, for an answer one of the kind that
/// holds more. Large ones go before small ones, among the large ones those that have stopped
/// arriving before the others, and then the largest.
class byte_budget
{
public:
    /// Bytes up to which a share counts as small.
    static constexpr std::size_t smallShareBytes = 16UL * 1024;

    /// @p limit in bytes, of which only small shares may use the last @p reserve. Requests that are
    /// not small may take half of it, or one alone all that small shares leave.
    static std::shared_ptr<byte_budget> makeByteBudget(std::size_t limit, std::size_t reserve = 0);
    ~byte_budget();

    /// Adds an empty share to @p budget, which may be null: then nothing is bounded. @p onEviction
    /// is called when another share's growth evicts it, and has to make its owner release the
    /// memory soon.
    static std::unique_ptr<byte_share> addShare(const std::shared_ptr<byte_budget> &budget,
                                                std::function<void()> onEviction,
                                                share_kind kind = share_kind::answer);

    std::size_t heldBytes() const;
    std::uint64_t evictions() const;

private:
    friend class byte_share;
    struct state;
    explicit byte_budget(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

/// The bytes of one message.
class byte_share
{
public:
    ~byte_share();

    /// Sets the size. False if the share was evicted, now or before; its memory must be released.
    bool resize(std::size_t bytes);
    bool isEvicted() const;

    /// Records that @p bytes of the message have arrived.
    void noteArrival(std::size_t bytes);

    /// Keeps a complete message until its work has ended: it is no longer evicted.
    void pin();

private:
    friend class byte_budget;
    struct state;
    explicit byte_share(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
