#include "cli/status_table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace quincefall {
namespace {

namespace json = boost::json;

using table_row = std::vector<std::string>;

constexpr std::array<std::string_view, 8> tabulatedMembers{
    "host", "reached", "ready", "stopping", "log_reachable", "config_version", "reason", "queues"};

std::string cell(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr)
        return "-";
    if (value->is_bool())
        return value->get_bool() ? "yes" : "no";
    if (value->is_string())
        return value->get_string().empty() ? "-" : std::string(value->get_string());
    return json::serialize(*value);
}

void printTable(std::ostream &out, const std::vector<table_row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const table_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const table_row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += row[column] + std::string(widths[column] + 2 - row[column].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

template <typename function_type>
void forEachQueue(const json::array &hosts, const function_type &function)
{
    for (const json::value &host : hosts) {
        const json::value *queues = host.as_object().if_contains("queues");
        if (queues == nullptr || !queues->is_array())
            continue;
        for (const json::value &queue : queues->get_array())
            function(host.as_object(), queue.as_object());
    }
}

std::string hostState(const json::object &host)
{
    if (cell(host, "reached") != "yes")
        return "unreached: " + cell(host, "reason");
    if (cell(host, "stopping") == "yes")
        return "stopping";
    return cell(host, "ready") == "yes" ? "ready" : "not ready";
}

void printHosts(std::ostream &out, const json::array &hosts)
{
    std::vector<table_row> rows{{"HOST", "STATE", "LOG", "CONFIG"}};
    for (const json::value &value : hosts) {
        const json::object &host = value.as_object();
        const std::string log = cell(host, "log_reachable");
        rows.push_back({cell(host, "host"), hostState(host),
                        log == "yes"      ? "reachable"
                            : log == "no" ? "unreachable"
                                          : "-",
                        cell(host, "config_version")});
    }
    printTable(out, rows);
}

void printQueues(std::ostream &out, const json::array &hosts)
{
    std::vector<table_row> rows{{"POOL", "OWNER", "CLASS", "TIER", "WAITING", "RUNNING"}};
    forEachQueue(hosts, [&rows](const json::object &host, const json::object &queue) {
        for (const json::value &value : queue.at("classes").as_array()) {
            const json::object &row = value.as_object();
            rows.push_back({cell(queue, "pool"), cell(host, "host"), cell(row, "class"),
                            cell(row, "tier"), cell(row, "waiting"), cell(row, "running")});
        }
    });
    printTable(out, rows);
}

void printUpstreams(std::ostream &out, const json::array &hosts)
{
    std::vector<table_row> rows{{"POOL", "UPSTREAM", "STATE", "RUNNING", "SLOTS", "REASON"}};
    forEachQueue(hosts, [&rows](const json::object &, const json::object &queue) {
        for (const json::value &value : queue.at("upstreams").as_array()) {
            const json::object &row = value.as_object();
            rows.push_back({cell(queue, "pool"), cell(row, "upstream"), cell(row, "state"),
                            cell(row, "running"), cell(row, "slots"), cell(row, "reason")});
        }
    });
    printTable(out, rows);
}

/// Prints the sections that have no table, as JSON.
void printOtherSections(std::ostream &out, const json::array &hosts)
{
    for (const json::value &value : hosts) {
        const json::object &host = value.as_object();
        for (const auto &member : host) {
            const std::string_view name = member.key();
            if (std::find(tabulatedMembers.begin(), tabulatedMembers.end(), name)
                != tabulatedMembers.end())
                continue;
            out << '\n'
                << name << " of " << cell(host, "host") << ": " << json::serialize(member.value())
                << '\n';
        }
    }
}

} // namespace

void printStatus(std::ostream &out, const json::value &status)
{
    const json::array &hosts = status.at("hosts").as_array();
    printHosts(out, hosts);
    out << '\n';
    printQueues(out, hosts);
    out << '\n';
    printUpstreams(out, hosts);
    printOtherSections(out, hosts);
}

} // namespace quincefall
