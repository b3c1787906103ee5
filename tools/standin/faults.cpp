#include "standin/faults.h"

#include <functional>
#include <map>
#include <string_view>

namespace quincefall::standin {
namespace {

using json_value = boost::json::value;
using field_reader = std::function<bool(const json_value &, fault_set &)>;

field_reader flag(bool fault_set::*member)
{
    return [member](const json_value &value, fault_set &faults) {
        if (value.is_bool())
            faults.*member = value.get_bool();
        return value.is_bool();
    };
}

template <typename member_type>
field_reader number(member_type fault_set::*member)
{
    return [member](const json_value &value, fault_set &faults) {
        if (!value.is_int64() || value.get_int64() < 0)
            return false;
        faults.*member = value.get_int64();
        return true;
    };
}

template <typename member_type>
field_reader duration(member_type fault_set::*member)
{
    return [member](const json_value &value, fault_set &faults) {
        if (!value.is_int64() || value.get_int64() < 0)
            return false;
        faults.*member = milliseconds(value.get_int64());
        return true;
    };
}

field_reader text(std::string fault_set::*member)
{
    return [member](const json_value &value, fault_set &faults) {
        if (value.is_string())
            faults.*member = std::string(value.get_string());
        return value.is_string();
    };
}

const std::map<std::string_view, field_reader> &fieldReaders()
{
    static const std::map<std::string_view, field_reader> readers{
        {"down", flag(&fault_set::down)},
        {"refuse", flag(&fault_set::refuse)},
        {"silent", flag(&fault_set::silent)},
        {"silent_open", flag(&fault_set::silentOpen)},
        {"delay_ms", duration(&fault_set::delay)},
        {"lose_answers", number(&fault_set::loseAnswers)},
        {"lose_path", text(&fault_set::losePath)},
        {"retention", number(&fault_set::retention)},
        {"token_delay_ms", duration(&fault_set::tokenDelay)},
        {"first_token_delay_ms", duration(&fault_set::firstTokenDelay)},
        {"stall_after", number(&fault_set::stallAfter)},
        {"cut_after", number(&fault_set::cutAfter)},
        {"cross_frames", number(&fault_set::crossFrames)},
        {"duplicate_frames", number(&fault_set::duplicateFrames)},
        {"ignore_fencing", flag(&fault_set::ignoreFencing)},
        {"event_gap", number(&fault_set::eventGap)},
        {"report_lag_ms", duration(&fault_set::reportLag)},
        {"run_delay_ms", duration(&fault_set::runDelay)},
    };
    return readers;
}

} // namespace

result<fault_set> parseFaults(const boost::json::object &object)
{
    fault_set faults;
    for (const auto &field : object) {
        const auto reader = fieldReaders().find(std::string_view(field.key()));
        if (reader == fieldReaders().end())
            return makeError(result_code::malformedRequest,
                             "unknown fault " + std::string(field.key()));
        if (!reader->second(field.value(), faults))
            return makeError(result_code::malformedRequest,
                             "fault " + std::string(field.key())
                                 + " is negative or has the wrong type");
    }
    return faults;
}

} // namespace quincefall::standin
