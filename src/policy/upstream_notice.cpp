#include "policy/upstream_notice.h"

#include <algorithm>
#include <utility>

namespace quincefall {
namespace {

// Several hints, so that most may be lost.
constexpr seconds tellTime{15};
constexpr std::size_t maxNotices = 1'024; // About 200 kB.
// Longer requests for time are shortened, since callers and clocks can't handle any value.
constexpr std::chrono::hours maxPause{24};
// Answers of one moment may arrive in another order than they were given in.
constexpr milliseconds answerDisorder{1'000};

instant lastChange(const upstream_notice &notice)
{
    return std::max({notice.leavingToldAt, notice.pausedUntil, notice.othersPausedUntil,
                     notice.limit.saidAt, notice.maxRejections.saidAt});
}

upstream_notice makeNotice(std::int64_t started)
{
    upstream_notice notice;
    notice.started = started;
    return notice;
}

/// The notice for this start of the upstream, which is added if there is none.
upstream_notice &noticeFor(upstream_notices &notices, const upstream_entry &entry)
{
    const auto found = notices.find(entry.id);
    if (found != notices.end()) {
        if (found->second.started != entry.started)
            found->second = makeNotice(entry.started);
        return found->second;
    }
    if (notices.size() >= maxNotices) {
        const auto oldest = std::min_element(
            notices.begin(), notices.end(), [](const auto &left, const auto &right) {
                return lastChange(left.second) < lastChange(right.second);
            });
        notices.erase(oldest);
    }
    return notices[entry.id] = makeNotice(entry.started);
}

bool isOutdated(const upstream_notices &notices, const upstream_entry &entry)
{
    const auto found = notices.find(entry.id);
    return found != notices.end() && found->second.started > entry.started;
}

/// Where a notice keeps a statement.
struct statement_fields
{
    limit_statement upstream_notice::*said;
    instant upstream_notice::*heardAt;
};

bool recordStatement(upstream_notices &notices, const upstream_entry &entry,
                     const statement_fields &fields, const limit_statement &said,
                     notice_source source, instant now)
{
    if (isOutdated(notices, entry))
        return false;
    const upstream_notice *known = findNotice(notices, entry);
    if (!said.perSecond && !(known && (known->*fields.said).perSecond))
        return false;
    if (known && said.saidAt <= (known->*fields.said).saidAt)
        return false;
    if (!said.perSecond && said.saidAt - (known->*fields.said).saidAt < answerDisorder)
        return false;
    upstream_notice &notice = noticeFor(notices, entry);
    const bool isNew = (notice.*fields.said).perSecond != said.perSecond;
    notice.*fields.said = said;
    if (source == notice_source::ownAnswer)
        notice.*fields.heardAt = now;
    return isNew;
}

bool isToTell(instant heardAt, instant now)
{
    return heardAt != instant::min() && now - heardAt < tellTime;
}

} // namespace

bool recordLeaving(upstream_notices &notices, const upstream_entry &entry, notice_source source,
                   instant now)
{
    if (isOutdated(notices, entry))
        return false;
    upstream_notice &notice = noticeFor(notices, entry);
    if (source == notice_source::ownAnswer)
        notice.leavingToldAt = now;
    notice.wasListedLeaving = notice.wasListedLeaving || entry.isLeaving;
    return !std::exchange(notice.isLeaving, true);
}

bool recordPause(upstream_notices &notices, const upstream_entry &entry, microseconds pause,
                 notice_source source, instant now)
{
    if (pause.count() <= 0 || isOutdated(notices, entry))
        return false;
    upstream_notice &notice = noticeFor(notices, entry);
    instant &end
        = source == notice_source::ownAnswer ? notice.pausedUntil : notice.othersPausedUntil;
    const bool isNew = end <= now;
    end = std::max(end, now + std::min<microseconds>(pause, maxPause));
    return isNew;
}

bool recordLimit(upstream_notices &notices, const upstream_entry &entry,
                 const limit_statement &said, notice_source source, instant now)
{
    return recordStatement(notices, entry,
                           {&upstream_notice::limit, &upstream_notice::limitHeardAt}, said, source,
                           now);
}

bool recordMaxRejections(upstream_notices &notices, const upstream_entry &entry,
                         const limit_statement &said, notice_source source, instant now)
{
    return recordStatement(
        notices, entry, {&upstream_notice::maxRejections, &upstream_notice::maxRejectionsHeardAt},
        said, source, now);
}

void applyRegistration(upstream_notices &notices, const upstream_entry &entry)
{
    const auto found = notices.find(entry.id);
    if (found == notices.end())
        return;
    upstream_notice &notice = found->second;
    if (entry.started > notice.started) {
        notices.erase(found);
        return;
    }
    if (entry.started < notice.started)
        return;
    if (entry.isLeaving)
        notice.wasListedLeaving = true;
    else if (std::exchange(notice.wasListedLeaving, false))
        notice.isLeaving = false;
}

const upstream_notice *findNotice(const upstream_notices &notices, const upstream_entry &entry)
{
    const auto found = notices.find(entry.id);
    const bool isForStart = found != notices.end() && found->second.started == entry.started;
    return isForStart ? &found->second : nullptr;
}

bool isLeaving(const upstream_notices &notices, const upstream_entry &entry)
{
    const upstream_notice *notice = findNotice(notices, entry);
    return entry.isLeaving || (notice && notice->isLeaving);
}

std::vector<told_notice> noticesToTell(const upstream_notices &notices, instant now)
{
    std::vector<told_notice> told;
    for (const auto &[id, notice] : notices) {
        const bool tellsLeaving = notice.isLeaving && notice.leavingToldAt != instant::min()
            && now - notice.leavingToldAt < tellTime;
        const bool tellsPause = notice.pausedUntil > now;
        const bool tellsLimit = isToTell(notice.limitHeardAt, now);
        const bool tellsRejections = isToTell(notice.maxRejectionsHeardAt, now);
        if (!tellsLeaving && !tellsPause && !tellsLimit && !tellsRejections)
            continue;
        const auto pause = tellsPause ? notice.pausedUntil - now : microseconds(0);
        told_notice &row = told.emplace_back();
        row.upstream = id;
        row.started = notice.started;
        row.isLeaving = tellsLeaving;
        row.pause = std::chrono::ceil<milliseconds>(pause);
        if (tellsLimit) {
            row.limit = notice.limit.perSecond;
            row.limitAge = std::chrono::ceil<milliseconds>(now - notice.limit.saidAt);
        }
        if (tellsRejections) {
            row.maxRejections = notice.maxRejections.perSecond;
            row.maxRejectionsAge
                = std::chrono::ceil<milliseconds>(now - notice.maxRejections.saidAt);
        }
    }
    return told;
}

} // namespace quincefall
