#include "route/peer_calls.h"

#include "clients/compression.h"
#include "kernel/asio_headers.h"
#include "peer.pb.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace quincefall {
namespace {

namespace asio = boost::asio;

constexpr std::string_view alternativeField = "X-Ask-Host"; // Of a refusal; a peer address.
constexpr std::string_view ageField = "X-Known-Age-Ms"; // Age of the answering host's copy.
constexpr std::string_view beforeField = "X-Replaced-Version"; // By the desired state.
// Several round trips between regions until an answer begins, and between two of its parts.
constexpr milliseconds queryTimeout{600};
// Of a query in total: as long as a change may take, but with time left to ask another host.
constexpr milliseconds desiredTransferTimeout{3'000};
// A host without a list needs the whole one. When a fleet starts, many hosts share a slow link, and
// a limit that all of them exceed would make all start again.
constexpr milliseconds upstreamsTransferTimeout{15'000};
// Smaller answers are always sent: a change of a few upstreams must not wait for bulk.
constexpr std::size_t maxSmallAnswerBytes = 16'000;
constexpr std::size_t maxSmallListings = 100; // Of about that size.
// Large answers at the same time: hosts of other regions share a link that may be slower than this
// host's.
constexpr std::size_t maxBulkInProgress = 16;
constexpr std::size_t maxRecipients = 64; // To which others are sent on.
constexpr std::size_t maxStateBytes = 64UL * 1024 * 1024; // Decompressed.
constexpr std::uint64_t maxAgeMs = std::numeric_limits<std::uint32_t>::max();
constexpr milliseconds neverConfirmedAge{maxAgeMs};
constexpr int statusOk = 200;
constexpr int statusNoContent = 204; // The answering host has nothing newer.
constexpr int statusUnavailable = 503;

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || text.empty())
        return std::nullopt;
    return value;
}

milliseconds ageAt(instant confirmedAt, instant now)
{
    return confirmedAt == instant::min() ? neverConfirmedAge
                                         : std::chrono::ceil<milliseconds>(now - confirmedAt);
}

void writeListing(wire::UpstreamListing &row, const upstream_membership::listing &listing)
{
    row.set_id(listing.entry.id);
    row.set_service(listing.entry.service);
    row.set_address(toString(listing.entry.address));
    row.set_failure_domain(listing.entry.failureDomain);
    row.set_region(listing.entry.region);
    row.set_slots(listing.entry.slots);
    row.set_leaving(listing.entry.isLeaving);
    row.set_started_ms(listing.entry.started);
    row.set_software_version(listing.entry.softwareVersion);
    row.set_interruptible(listing.entry.isInterruptible);
    row.set_leaves_at_ms(listing.entry.leavesAt);
    row.set_sequence(listing.sequence);
    row.set_changed(listing.changed);
}

std::optional<upstream_membership::listing> readListing(const wire::UpstreamListing &row)
{
    const auto address = parseAddress(row.address());
    if (!address || row.id().empty())
        return std::nullopt;
    upstream_membership::listing listing;
    listing.entry = {row.id(),
                     row.service(),
                     *address,
                     row.failure_domain(),
                     row.region(),
                     row.slots(),
                     row.leaving(),
                     row.started_ms(),
                     row.software_version(),
                     row.interruptible(),
                     row.leaves_at_ms()};
    listing.sequence = row.sequence();
    listing.changed = row.changed();
    return listing;
}

result<peer_upstreams> readChanges(const std::string &body)
{
    wire::UpstreamChanges message;
    if (!message.ParseFromString(body))
        return makeError(result_code::messageInvalid,
                         "the host's list of upstreams is not a valid message");
    peer_upstreams known;
    known.age = milliseconds(message.age_ms());
    known.changes.epoch = message.store_epoch();
    known.changes.next = message.next();
    known.changes.isWholeList = message.whole_list();
    for (const wire::UpstreamListing &row : message.listings()) {
        if (auto listing = readListing(row))
            known.changes.listings.push_back(std::move(*listing));
    }
    for (const wire::RemovedUpstream &row : message.removed())
        known.changes.removed.push_back({row.id(), row.changed()});
    return known;
}

bool isCompressed(const http_response &reply)
{
    return reply.header("Content-Encoding") == compressionName;
}

result<std::string> readBody(const http_response &reply)
{
    if (!isCompressed(reply))
        return reply.body;
    return decompress(reply.body, maxStateBytes);
}

tl::unexpected<error> rejectedQuery()
{
    return makeError(result_code::peerRejected, "the host answered 503");
}

asio::awaitable<result<http_response>> queryHost(http_client &client, host_address host,
                                                 std::string_view path, store_position after,
                                                 const host_address &own,
                                                 milliseconds transferTimeout)
{
    http_request request;
    request.target = std::string(path) + "?after=" + std::to_string(after.offset)
        + "&epoch=" + std::to_string(after.epoch) + "&host=" + toString(own);
    request.headers.emplace_back("Accept-Encoding", compressionName);
    auto reply = co_await client.send(std::move(host), std::move(request),
                                      call_timeouts{queryTimeout, queryTimeout, transferTimeout});
    if (!reply)
        co_return makeError(result_code::peerUnreachable, reply.error().detail);
    const bool isExpected = reply->status == statusOk || reply->status == statusNoContent
        || reply->status == statusUnavailable;
    if (!isExpected)
        co_return makeError(result_code::peerUnreachable,
                            "the host answered " + std::to_string(reply->status));
    co_return reply;
}

/// A response that was prepared, so that its size is known before it is sent.
struct state_answer
{
    int status = statusOk;
    std::vector<response_header> headers;
    std::string body;
};

bool acceptsCompressed(const http_exchange &exchange)
{
    return exchange.header("Accept-Encoding").find(compressionName) != std::string_view::npos;
}

state_answer makeDesiredAnswer(const http_exchange &exchange, const routing_state &state,
                               instant now)
{
    if (!state.desired)
        return {statusUnavailable, {}, {}};
    const auto age = ageAt(state.desiredConfirmedAt, now);
    state_answer answer;
    answer.headers.push_back({std::string(ageField), std::to_string(age.count())});
    answer.headers.push_back({std::string(beforeField), std::to_string(state.desiredBefore)});
    const auto known = parseUnsigned(exchange.query("after")).value_or(0);
    if (state.desired->version <= known) {
        answer.status = statusNoContent;
    } else if (acceptsCompressed(exchange)) {
        answer.headers.push_back({"Content-Encoding", std::string(compressionName)});
        answer.body = state.desiredCompressed;
    } else {
        answer.body = state.desiredText;
    }
    return answer;
}

store_position queriedPosition(const http_exchange &exchange)
{
    return {parseUnsigned(exchange.query("epoch")).value_or(0),
            parseUnsigned(exchange.query("after")).value_or(0)};
}

state_answer makeUpstreamsAnswer(const http_exchange &exchange, const routing_state &state,
                                 instant now)
{
    if (state.upstreamsConfirmedAt == instant::min()
        || advertisedOffset(state.membership, now) == 0)
        return {statusUnavailable, {}, {}};
    const upstream_changes changes = changesSince(state.membership, queriedPosition(exchange));
    wire::UpstreamChanges message;
    message.set_next(changes.next);
    message.set_store_epoch(changes.epoch);
    message.set_whole_list(changes.isWholeList);
    message.set_age_ms(std::uint32_t(ageAt(state.upstreamsConfirmedAt, now).count()));
    for (const upstream_membership::listing &listing : changes.listings)
        writeListing(*message.add_listings(), listing);
    for (const upstream_changes::removal &removal : changes.removed) {
        wire::RemovedUpstream *row = message.add_removed();
        row->set_id(removal.id);
        row->set_changed(removal.changed);
    }
    std::string body = message.SerializeAsString();
    if (body.size() <= maxSmallAnswerBytes || !acceptsCompressed(exchange))
        return {statusOk, {}, std::move(body)};
    return {statusOk, {{"Content-Encoding", std::string(compressionName)}}, compress(body)};
}

/// Refuses a large answer and names another host that has received it.
state_answer makeRefusal(state_answers &answers, instant now)
{
    state_answer refusal{statusUnavailable, {}, {}};
    const auto end = std::find_if(answers.recipients.begin(), answers.recipients.end(),
                                  [now](const auto &row) { return row.receivedBy > now; });
    const auto count = std::size_t(end - answers.recipients.begin());
    if (count > 0) {
        const host_address &host = answers.recipients[answers.refusals++ % count].host;
        refusal.headers.push_back({std::string(alternativeField), toString(host)});
    }
    return refusal;
}

void recordRecipient(state_answers &answers, std::uint64_t version, const std::string &host)
{
    if (version > answers.version) {
        answers.version = version;
        answers.recipients.clear();
    }
    const auto address = parseAddress(host);
    if (address && version == answers.version && answers.recipients.size() < maxRecipients)
        answers.recipients.push_back({*address, answers.pace.sentBy});
}

} // namespace

asio::awaitable<void> answerStateQuery(http_exchange &exchange, const routing_state &state,
                                       state_answers &answers, const clock_source &clock)
{
    const bool isDesired = exchange.path() == peerDesiredPath;
    const instant now = clock.now();
    const bool isFull = answers.bulkInProgress >= maxBulkInProgress || isBusy(answers.pace, now);
    // Many hosts ask at once when a fleet starts; to write a list only to refuse it would take all
    // of a small host's processor time.
    if (!isDesired && isFull
        && countChangesSince(state.membership, queriedPosition(exchange)) > maxSmallListings) {
        co_await exchange.respond(statusUnavailable, {}, "");
        co_return;
    }
    state_answer answer = isDesired ? makeDesiredAnswer(exchange, state, now)
                                    : makeUpstreamsAnswer(exchange, state, now);
    const std::size_t size = answer.body.size();
    bool isBulk = size > maxSmallAnswerBytes;
    if (isBulk && (isFull || !startBulk(answers.pace, size, now))) {
        answer = isDesired ? makeRefusal(answers, now) : state_answer{statusUnavailable, {}, {}};
        isBulk = false;
    }
    if (isBulk && isDesired)
        recordRecipient(answers, state.desired->version, exchange.query("host"));
    answers.bulkInProgress += isBulk ? 1 : 0;
    const bool isSent
        = co_await exchange.respond(answer.status, answer.headers, std::move(answer.body));
    answers.bulkInProgress -= isBulk ? 1 : 0;
    if (isBulk && !isSent)
        cancelBulk(answers.pace, size, clock.now());
}

asio::awaitable<result<peer_desired>> fetchDesired(http_client &client, host_address host,
                                                   std::uint64_t after, host_address own)
{
    auto reply = co_await queryHost(client, std::move(host), peerDesiredPath, {0, after}, own,
                                    desiredTransferTimeout);
    if (!reply)
        co_return tl::unexpected(reply.error());
    if (reply->status == statusUnavailable) {
        const auto alternative = parseAddress(reply->header(alternativeField));
        if (!alternative || *alternative == own)
            co_return rejectedQuery();
        peer_desired refusal;
        refusal.askInstead = *alternative;
        co_return refusal;
    }
    const auto age = parseUnsigned(reply->header(ageField));
    if (!age)
        co_return makeError(result_code::messageInvalid,
                            "the host's answer has no valid age field");
    peer_desired known;
    known.age = milliseconds(std::int64_t(std::min(*age, maxAgeMs)));
    known.before = parseUnsigned(reply->header(beforeField)).value_or(0);
    known.receivedBytes = reply->body.size();
    if (reply->status != statusOk)
        co_return known;
    auto text = readBody(*reply);
    if (!text)
        co_return tl::unexpected(text.error());
    known.text = std::move(*text);
    if (isCompressed(*reply))
        known.compressed = std::move(reply->body);
    co_return known;
}

asio::awaitable<result<peer_upstreams>> fetchUpstreams(http_client &client, host_address host,
                                                       store_position after, host_address own)
{
    const auto reply = co_await queryHost(client, std::move(host), peerUpstreamsPath, after, own,
                                          upstreamsTransferTimeout);
    if (!reply)
        co_return tl::unexpected(reply.error());
    if (reply->status == statusUnavailable)
        co_return rejectedQuery();
    const auto body = readBody(*reply);
    if (!body)
        co_return tl::unexpected(body.error());
    auto known = readChanges(*body);
    co_return known;
}

} // namespace quincefall
