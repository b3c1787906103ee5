#include "serve/permit_messages.h"

namespace quincefall {

work_item toWorkItem(const wire::PermitRequest &request, instant now)
{
    work_item item;
    item.id = request.request_id();
    item.entryHost = request.entry_host();
    item.entryRegion = request.entry_region();
    item.organisation = request.organisation();
    item.serviceClass = request.service_class();
    item.model = request.model();
    item.prefixHash = request.prefix_hash();
    item.promptTokens = request.prompt_tokens();
    item.resumeFrom = request.resume_from();
    item.arrival = now - microseconds(request.waited_us());
    item.excluded.assign(request.excluded().begin(), request.excluded().end());
    return item;
}

completion toCompletion(const wire::ReleaseRequest &message)
{
    completion done;
    done.permit = message.number();
    done.upstream = message.upstream();
    done.tokens = message.tokens();
    done.timeToFirstToken = microseconds(message.first_token_us());
    done.duration = microseconds(message.duration_us());
    done.failed = message.failed();
    done.stopped = message.stopped();
    return done;
}

adopted_attempt toAdoptedAttempt(const wire::RunningPermit &running, const std::string &entryHost)
{
    adopted_attempt attempt;
    attempt.id = running.request_id();
    attempt.entryHost = entryHost;
    attempt.permit = running.number();
    attempt.upstream = running.upstream();
    attempt.serviceClass = running.service_class();
    attempt.organisation = running.organisation();
    attempt.running = microseconds(running.running_us());
    return attempt;
}

} // namespace quincefall
