#include "route/hint_codec.h"

#include "kernel/elapsed_time.h"

#include <algorithm>
#include <cmath>

namespace quincefall {
namespace {

// Hints give unread tokens in multiples of this, which makes them shorter.
constexpr double unreadTokensPerUnit = 16;
constexpr std::uint64_t maxWallTime = std::uint64_t(1) << 53U; // In range in microseconds, too.

/// Number of urgency levels up to the last one with a non-zero amount.
std::size_t usedUrgencyLevels(const by_urgency &amounts)
{
    std::size_t levels = urgencyLevels;
    while (levels > 0 && amounts[levels - 1] <= 0)
        --levels;
    return levels;
}

template <typename field_type>
by_urgency toAmounts(const field_type &field, double unit)
{
    by_urgency amounts{};
    const auto levels = std::min(urgencyLevels, std::size_t(field.size()));
    for (std::size_t urgency = 0; urgency < levels; ++urgency)
        amounts[urgency] = field.Get(int(urgency)) * unit;
    return amounts;
}

void writeSuspect(wire::SuspectedTrait &row, const told_suspect &suspect)
{
    row.set_trait(suspect.trait);
    row.set_whole_request(suspect.isWholeRequest);
    row.set_depth(suspect.depth);
    row.set_held(suspect.isHeld);
    if (suspect.answeredAge)
        row.set_answered_age_ms(std::uint32_t(suspect.answeredAge->count()));
    for (const told_crash &crash : suspect.crashes) {
        wire::UpstreamCrash *evidence = row.add_crashes();
        evidence->set_crash(crash.crash);
        evidence->set_age_ms(std::uint32_t(crash.age.count()));
        evidence->set_was_answering(crash.wasAnswering);
        evidence->set_refuted(crash.isRefuted);
        if (crash.waited)
            evidence->set_waited_ms(std::uint32_t(crash.waited->count()));
    }
}

told_suspect readSuspect(const wire::SuspectedTrait &row)
{
    told_suspect suspect;
    suspect.trait = row.trait();
    suspect.isWholeRequest = row.whole_request();
    suspect.depth = row.depth();
    suspect.isHeld = row.held();
    if (row.has_answered_age_ms())
        suspect.answeredAge = milliseconds(row.answered_age_ms());
    for (const wire::UpstreamCrash &crash : row.crashes()) {
        told_crash &told = suspect.crashes.emplace_back();
        told = {crash.crash(),
                milliseconds(crash.age_ms()),
                {},
                crash.was_answering(),
                crash.refuted()};
        if (crash.has_waited_ms())
            told.waited = milliseconds(crash.waited_ms());
    }
    return suspect;
}

void addSuspects(wire::LoadHint &message, std::span<const told_suspect> suspects)
{
    for (const told_suspect &suspect : suspects)
        writeSuspect(*message.add_suspected_traits(), suspect);
}

} // namespace

std::vector<told_suspect> readSuspects(const wire::LoadHint &message)
{
    std::vector<told_suspect> suspects;
    for (const wire::SuspectedTrait &row : message.suspected_traits())
        suspects.push_back(readSuspect(row));
    return suspects;
}

std::optional<load_hint> readHint(const wire::LoadHint &message)
{
    const auto host = parseAddress(message.host());
    const bool isTimeValid = message.started_ms() <= maxWallTime && message.wall_ms() >= 0
        && std::uint64_t(message.wall_ms()) <= maxWallTime;
    if (!host || !isTimeValid)
        return std::nullopt;
    load_hint hint;
    hint.host = *host;
    hint.desiredVersion = message.desired_version();
    hint.desiredAge = milliseconds(message.desired_age_ms());
    hint.upstreamsNext = {message.store_epoch(), message.upstreams_next()};
    hint.upstreamsAge = milliseconds(message.upstreams_age_ms());
    hint.started = message.started_ms();
    hint.sequence = message.sequence();
    hint.cannotRelay = message.cannot_relay();
    hint.dutyFence = message.duty_fence();
    hint.wall = message.wall_ms();
    for (const wire::UpstreamWork &row : message.upstreams()) {
        upstream_work work;
        work.upstream = row.upstream();
        work.inFlight = toAmounts(row.in_flight(), 1);
        work.unreadTokens = toAmounts(row.unread_tokens(), unreadTokensPerUnit);
        hint.upstreams.push_back(work);
    }
    for (const wire::ServiceDemand &row : message.demands())
        hint.demands.push_back(
            {row.service(), row.sensitive_us_per_s() / 1000.0, double(row.sensitive_in_flight())});
    hint.suspects = readSuspects(message);
    for (const wire::StreamFraming &row : message.stream_framings())
        hint.framings.push_back({row.service(), milliseconds(row.framed_age_ms())});
    for (const wire::UpstreamNotice &row : message.notices()) {
        told_notice &notice = hint.notices.emplace_back();
        notice.upstream = row.upstream();
        notice.started = row.started_ms();
        notice.isLeaving = row.leaving();
        notice.pause = milliseconds(row.pause_ms());
        if (row.has_limit_age_ms() && std::isfinite(row.limit()) && row.limit() >= 0) {
            notice.limit = row.has_limit() ? std::optional(row.limit()) : std::nullopt;
            notice.limitAge = milliseconds(row.limit_age_ms());
        }
        if (row.has_max_rejections_age_ms() && std::isfinite(row.max_rejections())
            && row.max_rejections() >= 0) {
            if (row.has_max_rejections())
                notice.maxRejections = row.max_rejections();
            notice.maxRejectionsAge = milliseconds(row.max_rejections_age_ms());
        }
    }
    return hint;
}

std::string encodeSuspects(std::span<const told_suspect> suspects)
{
    wire::LoadHint message;
    addSuspects(message, suspects);
    return message.SerializeAsString();
}

std::string encodeHeldTrait(const told_suspect &suspect, wall_milliseconds now)
{
    wire::HeldTrait message;
    writeSuspect(*message.mutable_suspect(), suspect);
    message.set_written_ms(now);
    return message.SerializeAsString();
}

std::optional<told_suspect> decodeHeldTrait(std::string_view bytes, wall_milliseconds now)
{
    wire::HeldTrait message;
    if (!message.ParseFromArray(bytes.data(), int(bytes.size())) || !message.has_suspect())
        return std::nullopt;
    told_suspect suspect = readSuspect(message.suspect());
    // Wall clocks of hosts differ.
    const milliseconds since = elapsed(message.written_ms(), now);
    for (told_crash &crash : suspect.crashes)
        crash.age += since;
    if (suspect.answeredAge)
        *suspect.answeredAge += since;
    return suspect;
}

std::string encodeHint(const load_hint &hint)
{
    wire::LoadHint message;
    message.set_host(toString(hint.host));
    message.set_started_ms(hint.started);
    message.set_sequence(hint.sequence);
    for (const upstream_work &work : hint.upstreams) {
        wire::UpstreamWork *row = message.add_upstreams();
        row->set_upstream(work.upstream);
        for (std::size_t urgency = 0; urgency < usedUrgencyLevels(work.inFlight); ++urgency)
            row->add_in_flight(std::uint32_t(std::lround(work.inFlight[urgency])));
        for (std::size_t urgency = 0; urgency < usedUrgencyLevels(work.unreadTokens); ++urgency)
            row->add_unread_tokens(
                std::uint32_t(std::ceil(work.unreadTokens[urgency] / unreadTokensPerUnit)));
    }
    for (const service_demand &demand : hint.demands) {
        wire::ServiceDemand *row = message.add_demands();
        row->set_service(demand.service);
        row->set_sensitive_us_per_s(std::uint32_t(std::lround(demand.prefillMsPerSecond * 1000)));
        row->set_sensitive_in_flight(std::uint32_t(std::lround(demand.inFlight)));
    }
    message.set_desired_version(hint.desiredVersion);
    message.set_desired_age_ms(std::uint32_t(hint.desiredAge.count()));
    message.set_upstreams_next(hint.upstreamsNext.offset);
    message.set_store_epoch(hint.upstreamsNext.epoch);
    message.set_upstreams_age_ms(std::uint32_t(hint.upstreamsAge.count()));
    message.set_cannot_relay(hint.cannotRelay);
    message.set_duty_fence(hint.dutyFence);
    message.set_wall_ms(hint.wall);
    addSuspects(message, hint.suspects);
    for (const told_framing &framing : hint.framings) {
        wire::StreamFraming *row = message.add_stream_framings();
        row->set_service(framing.service);
        row->set_framed_age_ms(std::uint32_t(framing.framedAge.count()));
    }
    for (const told_notice &notice : hint.notices) {
        wire::UpstreamNotice *row = message.add_notices();
        row->set_upstream(notice.upstream);
        row->set_started_ms(notice.started);
        row->set_leaving(notice.isLeaving);
        row->set_pause_ms(std::uint32_t(notice.pause.count()));
        if (notice.limit)
            row->set_limit(*notice.limit);
        if (notice.limitAge)
            row->set_limit_age_ms(std::uint32_t(notice.limitAge->count()));
        if (notice.maxRejections)
            row->set_max_rejections(*notice.maxRejections);
        if (notice.maxRejectionsAge)
            row->set_max_rejections_age_ms(std::uint32_t(notice.maxRejectionsAge->count()));
    }
    return message.SerializeAsString();
}

std::optional<load_hint> decodeHint(std::string_view bytes)
{
    wire::LoadHint message;
    if (!message.ParseFromArray(bytes.data(), int(bytes.size())))
        return std::nullopt;
    return readHint(message);
}

} // namespace quincefall
