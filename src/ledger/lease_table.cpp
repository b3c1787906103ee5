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

/// Ignores a take whose writer had not seen the last applied record. An expected version above
/// state.version belongs to a record that was lost in a gap; such a take is accepted.
bool applyTake(lease_state &state, std::uint64_t offset, const lease_entry &entry)
{
    if (entry.expectedVersion < state.version)
        return false;
    state = {entry.holder, entry.incarnation, offset + 1, offset + 1};
    return true;
}

bool applyHolderEntry(lease_state &state, std::uint64_t offset, const lease_entry &entry)
{
    const bool isCurrent = entry.fence == state.fence && entry.holder == state.holder
        && entry.incarnation == state.incarnation;
    // Only holders renew or give up, so a higher fence belongs to a take that was lost in a gap.
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
                                        {"expected", entry.expectedVersion},
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
        entry.expectedVersion = parsed.at("expected").to_number<std::uint64_t>();
        entry.fence = parsed.at("fence").to_number<std::uint64_t>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return entry;
}

std::optional<lease_entry> applyLeaseRecord(lease_table &table, std::uint64_t offset,
                                            std::string_view record)
{
    assert(offset >= table.next);
    table.next = offset + 1;
    auto entry = decodeLease(record);
    if (!entry || entry->holder.empty())
        return std::nullopt;
    lease_state &state = table.leases[entry->lease];
    const bool isApplied = entry->action == lease_action::take
        ? applyTake(state, offset, *entry)
        : applyHolderEntry(state, offset, *entry);
    return isApplied ? entry : std::nullopt;
}

lease_state leaseOf(const lease_table &table, const std::string &lease)
{
    const auto found = table.leases.find(lease);
    return found == table.leases.end() ? lease_state() : found->second;
}

bool mayAct(const lease_hold &hold, const lease_timing &timing, instant now)
{
    return hold.fence != 0 && now < hold.renewedAt + timing.ttl - timing.safetyMargin;
}

void watchLease(lease_watch &watch, const lease_state &seen, instant now)
{
    if (watch.hasObserved && watch.version == seen.version)
        return;
    watch = {seen.version, now, true};
}

bool mayTake(const lease_watch &watch, const lease_state &seen, const lease_timing &timing,
             instant now)
{
    if (seen.holder.empty())
        return true;
    return watch.hasObserved && watch.version == seen.version
        && now >= watch.changedAt + timing.ttl + timing.takeoverMargin;
}

} // namespace quincefall
