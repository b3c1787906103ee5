#include "kernel/kernel.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace quincefall {
namespace {

struct registration
{
    std::string name;
    std::shared_ptr<void> service;
    const std::type_info *type;
    kernel::hooks lifeCycle;
};

} // namespace

struct kernel::state
{
    std::vector<registration> services;
    std::size_t started = 0;

    const registration *lookUp(std::string_view name) const
    {
        const auto entry = std::find_if(services.begin(), services.end(),
                                        [name](const auto &other) { return other.name == name; });
        return entry == services.end() ? nullptr : &*entry;
    }
};

std::unique_ptr<kernel> kernel::makeKernel()
{
    return std::unique_ptr<kernel>(new kernel());
}

kernel::kernel()
    : m_state(std::make_unique<state>())
{
}

kernel::~kernel()
{
    stop();
    // Destroyed in reverse order, because later services may hold references to earlier ones.
    while (!m_state->services.empty())
        m_state->services.pop_back();
}

void kernel::addErased(std::string name, std::shared_ptr<void> service, const std::type_info &type,
                       hooks lifeCycle)
{
    assert(m_state->lookUp(name) == nullptr);
    m_state->services.push_back({std::move(name), std::move(service), &type, std::move(lifeCycle)});
}

void *kernel::findErased(std::string_view name, const std::type_info &type) const
{
    const registration *entry = m_state->lookUp(name);
    assert(entry != nullptr && *entry->type == type);
    (void)type;
    return entry->service.get();
}

result<void> kernel::start()
{
    for (; m_state->started < m_state->services.size(); ++m_state->started) {
        const auto &lifeCycle = m_state->services[m_state->started].lifeCycle;
        if (!lifeCycle.start)
            continue;
        if (auto started = lifeCycle.start(); !started) {
            stop();
            return started;
        }
    }
    return {};
}

void kernel::stop()
{
    while (m_state->started > 0) {
        const auto &lifeCycle = m_state->services[--m_state->started].lifeCycle;
        if (lifeCycle.stop)
            lifeCycle.stop();
    }
}

} // namespace quincefall
