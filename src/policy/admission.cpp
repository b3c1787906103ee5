#include "policy/admission.h"

#include <algorithm>

namespace quincefall {

double requestsAhead(const wait_queue &queue, const organisation_table &organisations,
                     const class_queue &serviceClass, std::string_view organisation)
{
    const int tier = serviceClass.policy.tier;
    double ahead = static_cast<double>(waitingAboveTier(queue, tier));
    for (const auto &[name, other] : queue.classes) {
        if (other.policy.tier == tier && &other != &serviceClass)
            ahead += static_cast<double>(other.size);
    }
    const auto own = serviceClass.organisations.find(organisation);
    const double ownWaiting
        = own == serviceClass.organisations.end() ? 0 : static_cast<double>(own->second.size);
    const double rounds = (ownWaiting + 1) / weightOf(organisations, organisation);
    for (const auto &[virtualTime, name] : serviceClass.active) {
        const auto &other = serviceClass.organisations.find(name)->second;
        const double fairShare = rounds * weightOf(organisations, name);
        ahead += name == organisation ? ownWaiting
                                      : std::min(static_cast<double>(other.size), fairShare);
    }
    return ahead;
}

microseconds expectedWait(double ahead, double drainPerSecond)
{
    if (drainPerSecond <= 0)
        return microseconds(0);
    return microseconds(static_cast<std::int64_t>(ahead / drainPerSecond * 1e6));
}

} // namespace quincefall
