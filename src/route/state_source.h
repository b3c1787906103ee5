#pragma once

#include "kernel/result.h"
#include "policy/desired_state.h"
#include "policy/fleet_members.h"
#include "policy/store_position.h"
#include "policy/upstream_entry.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quincefall {

/// What changed about one upstream.
struct upstream_change
{
    std::string id;
    std::optional<upstream_entry> entry; ///< Empty when it is no longer listed.
    std::int64_t sequence = 0;
    std::uint64_t next = 0; ///< Offset after the record of the change.
};

/// Result of one read of the list of upstreams.
struct upstream_page
{
    std::vector<upstream_change> changes;
    store_position next; ///< For the next read.
    bool isSnapshot = false; ///< `changes` has all upstreams that are listed.
};

/// Result of one read of the desired state.
struct desired_page
{
    std::optional<desired_state> newest; ///< Empty when there is none newer.
    std::string text; ///< `newest` as the operator wrote it, for other hosts.
    std::vector<desired_state> earlier; ///< Others on the page, before `newest`; oldest first.
    store_position next; ///< For the next read.
    bool isComplete = false; ///< It has all desired states since `from`.
    bool isOnlyOne = false; ///< The store has never held another desired state.
    /// The last desired state of the page can't be read, so `newest` is not the newest.
    bool isNewestUnreadable = false;
    bool isWhole = true; ///< The store held no further records after the page.
};

/// A record that a host has stored.
struct stored_record
{
    std::string key;
    std::string value;
};

/// The newest record of the holder of the duties.
struct duty_page
{
    std::optional<std::string> record; ///< Empty when there is none newer.
    store_position next; ///< After the newest record; the next one is appended there.
};

/// Reads desired state and upstreams from the platform, and the hosts' announcements. Without a
/// position `from`, reads return all current entries; with one, the changes after it, the first of
/// which they await for up to `wait`. They fail with logTruncated when those changes are no longer
/// kept or the store's epoch is a newer one, and with logUnavailable when the platform does not
/// answer.
struct state_source
{
    std::function<boost::asio::awaitable<result<desired_page>>(std::optional<store_position> from,
                                                               milliseconds wait)>
        desired;
    std::function<boost::asio::awaitable<result<upstream_page>>(std::optional<store_position> from,
                                                                milliseconds wait)>
        upstreams;
    std::function<result<desired_state>(const std::string &text)> decodeDesired;
    /// Announces this host to the others; returns the store's epoch. A failed call may have taken
    /// effect.
    std::function<boost::asio::awaitable<result<std::uint64_t>>(host_announcement own)> announce;
    /// All announcements that were not withdrawn.
    std::function<boost::asio::awaitable<result<std::vector<host_announcement>>>()> hosts;
    /// Stores the record of a held trait, or withdraws it if @p record is empty.
    std::function<boost::asio::awaitable<result<void>>(std::string trait,
                                                       std::optional<std::string> record)>
        storeHeld;
    /// The records of all held traits that were not withdrawn.
    std::function<boost::asio::awaitable<result<std::vector<std::string>>>()> held;
    /// Replaces the stream record of the host @p key.
    std::function<boost::asio::awaitable<result<void>>(std::string key, std::string record)>
        storeStreamRecord;
    /// The stream records of all hosts.
    std::function<boost::asio::awaitable<result<std::vector<stored_record>>>()> streamRecords;
    /// The duty record; with `from`, waits up to `wait` for a newer one.
    std::function<boost::asio::awaitable<result<duty_page>>(std::optional<store_position> from,
                                                            milliseconds wait)>
        duties;
    /// Appends the duty record if the newest record ends at @p at. Returns the position after it.
    /// Fails with versionConflict when another record was appended; after another failure the
    /// record may be stored all the same, also later.
    std::function<boost::asio::awaitable<result<store_position>>(std::string record,
                                                                 store_position at)>
        appendDuty;
};

} // namespace quincefall
