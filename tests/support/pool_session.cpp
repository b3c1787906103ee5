#include "support/pool_session.h"

#include <iomanip>

namespace quincefall::testing {

void pool_session::writeLine(const std::string &line)
{
    if (!verbose)
        return;
    transcript << std::setw(7) << toMilliseconds(now.time_since_epoch()) << "  " << line << '\n';
}

void pool_session::applyDecisions(const decisions &decided)
{
    for (const grant &granting : decided.grants) {
        writeLine("    grant " + granting.id + " on " + granting.upstream);
        running[granting.id] = granting;
        granted.insert(granting.id);
        ++grantsByClass[classOf[granting.id]];
    }
    for (const refusal &refused : decided.refusals) {
        std::ostringstream line;
        line << "    refuse " << refused.id << " code " << static_cast<int>(refused.code)
             << " retry after " << refused.retryAfter.count() << " ms: " << refused.detail;
        writeLine(line.str());
        ++refusalsByClass[classOf[refused.id]];
    }
}

void pool_session::submitRequest(const std::string &id, const std::string &serviceClass,
                                 const std::string &organisation)
{
    work_item item;
    item.id = id;
    item.entryHost = "entry-1";
    item.organisation = organisation;
    item.serviceClass = serviceClass;
    item.arrival = arrivals.try_emplace(id, now).first->second;
    classOf[id] = serviceClass;
    writeLine("submit " + id + " (" + serviceClass + ", " + organisation + ")");
    applyDecisions(submit(state, item, now));
}

void pool_session::finishRequest(const std::string &id, std::uint32_t tokens, microseconds duration)
{
    const auto found = running.find(id);
    completion done;
    done.permit = found->second.permit;
    done.upstream = found->second.upstream;
    done.tokens = tokens;
    done.duration = duration;
    writeLine("finish " + id + " on " + done.upstream);
    running.erase(found);
    applyDecisions(finish(state, done, now));
}

void pool_session::advanceBy(microseconds step)
{
    now += step;
    applyDecisions(advance(state, now));
}

void pool_session::writeCounters()
{
    for (const auto &[name, count] : grantsByClass)
        transcript << "granted " << name << ": " << count << '\n';
    for (const auto &[name, count] : refusalsByClass)
        transcript << "refused " << name << ": " << count << '\n';
    transcript << "waiting: " << waitingCount(state) << '\n'
               << "guaranteed starts ahead of a higher tier, by share: " << state.rule.shareStarts
               << ", by floor: " << state.rule.floorStarts << '\n'
               << "higher tier shed for lower: " << state.rule.higherTierShedForLower << '\n'
               << "higher tier shed for guaranteed starts: "
               << state.rule.higherTierShedForGuarantee << '\n';
}

pool_plan makeThreeTierPlan(int upstreamCount, std::uint32_t slots)
{
    pool_plan plan;
    plan.classes = {
        {"rosters", 1, milliseconds(700), milliseconds(73), seconds(4), 0},
        {"reports", 2, milliseconds(1500), milliseconds(73), seconds(6), 0},
        {"questions", 3, milliseconds(1000), milliseconds(73), seconds(8), 0.25},
    };
    for (int number = 1; number <= upstreamCount; ++number) {
        upstream_info info;
        info.name = "engine-" + std::to_string(number);
        info.region = "uusimaa";
        info.slots = slots;
        plan.upstreams.push_back(info);
    }
    return plan;
}

} // namespace quincefall::testing
