#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace quincefall {

class byte_share;

/// Bounds the memory that a host spends on what its peers send, over all connections.
///
/// Each message that is collected has a share. When the shares hold more than the limit, the
/// largest ones are evicted until the others fit.
class byte_budget
{
public:
    /// @p limit in bytes.
    static std::shared_ptr<byte_budget> makeByteBudget(std::size_t limit);
    ~byte_budget();

    /// Adds an empty share. @p onEviction is called when another share's growth evicts it, and has
    /// to make its owner release the memory soon.
    static std::unique_ptr<byte_share> addShare(const std::shared_ptr<byte_budget> &budget,
                                                std::function<void()> onEviction);

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

private:
    friend class byte_budget;
    struct state;
    explicit byte_share(std::unique_ptr<state> owned);
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
