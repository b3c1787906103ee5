#include "ledger/lease_table.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cassert>

namespace quincefall {
namespace {

namespace json = boost::json;

constexpr std::array allActions{lease_action::take, lease_action::renew, lease_action::giveUp};

std::string_view toString(lease_action action)
{
    switch (action) {
    case lease_action::take:
        return "take";
    case lease_action::renew:
        return "renew";
    case lease_action::giveUp:
        return "give-up";
    }
    return "take";
}

lease_action parseAction(std::string_view text)
{
    for (const lease_action action : allActions) {
        if (toString(action) == text)
            return action;
    }
    throw std::invalid_argument("unknown action");
}

/// A take that expects a later record than the book has seen comes after a gap.
bool foldTake(lease_state &state, std::uint64_t offset, const lease_entry &entry)
{
    if (entry.expected < state.last)
        return false;
    state = {entry.holder, entry.incarnation, offset + 1, offset + 1};
    return true;
}

bool foldHolder(lease_state &state, std::uint64_t offset, const lease_entry &entry)
{
    const bool isCurrent = entry.fence == state.fence && entry.holder == state.holder
        && entry.incarnation == state.incarnation;
    // Only holders renew, so a higher fence is that of a take in a gap.
    if (!isCurrent && entry.fence <= state.fence)
        return false;
    state = {entry.holder, entry.incarnation, entry.fence, offset + 1};
    if (entry.action == lease_action::giveUp)
        state.holder.clear();
    return true;
}

} // namespace

std::string encodeLease(const lease_entry &entry)
{
    return json::serialize(json::object{{"action", toString(entry.action)},
                                        {"lease", entry.lease},
                                        {"holder", entry.holder},
                                        {"incarnation", entry.incarnation},
                                        {"operation", entry.operation},
                                        {"expected", entry.expected},
                                        {"fence", entry.fence}});
}

std::optional<lease_entry> decodeLease(std::string_view text)
{
    lease_entry entry;
    try {
        const json::value parsed = json::parse(text);
        entry.action = parseAction(std::string_view(parsed.at("action").as_string()));
        entry.lease = std::string(parsed.at("lease").as_string());
        entry.holder = std::string(parsed.at("holder").as_string());
        entry.incarnation = parsed.at("incarnation").to_number<std::uint64_t>();
        entry.operation = std::string(parsed.at("operation").as_string());
        entry.expected = parsed.at("expected").to_number<std::uint64_t>();
        entry.fence = parsed.at("fence").to_number<std::uint64_t>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return entry;
}

std::optional<lease_entry> applyLeaseRecord(lease_table &book, std::uint64_t offset,
                                            std::string_view record)
{
    assert(offset >= book.next);
    book.next = offset + 1;
    auto entry = decodeLease(record);
    if (!entry || entry->holder.empty())
        return std::nullopt;
    lease_state &state = book.leases[entry->lease];
    const bool isApplied = entry->action == lease_action::take ? foldTake(state, offset, *entry)
                                                               : foldHolder(state, offset, *entry);
    return isApplied ? entry : std::nullopt;
}

lease_state leaseOf(const lease_table &book, const std::string &lease)
{
    const auto found = book.leases.find(lease);
    return found == book.leases.end() ? lease_state() : found->second;
}

bool mayAct(const lease_hold &hold, const lease_rules &rules, instant now)
{
    return hold.fence != 0 && now < hold.renewed + rules.ttl - rules.margin;
}

void watchLease(lease_watch &watch, const lease_state &seen, instant now)
{
    if (watch.hasBegun && watch.last == seen.last)
        return;
    watch = {seen.last, now, true};
}

bool mayTake(const lease_watch &watch, const lease_state &seen, const lease_rules &rules,
             instant now)
{
    if (seen.holder.empty())
        return true;
    return watch.hasBegun && watch.last == seen.last
        && now >= watch.since + rules.ttl + rules.guard;
}

} // namespace quincefall
