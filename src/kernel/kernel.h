#pragma once

#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <typeinfo>

namespace quincefall {

/// Service container: starts and stops the services of a process and looks them up by name.
///
/// Services start in the order in which they were added and stop in reverse order. If one fails to
/// start, those that were already started are stopped.
class kernel
{
public:
    /// Start and stop functions of a service. Both may be empty.
    struct hooks
    {
        std::function<result<void>()> start;
        std::function<void()> stop;
    };

    static std::unique_ptr<kernel> makeKernel();
    ~kernel();

    kernel(const kernel &) = delete;
    kernel &operator=(const kernel &) = delete;

    /// Registers @p service under @p name, which must be unused.
    template <typename service_type>
    void add(std::string name, std::shared_ptr<service_type> service, hooks lifeCycle = {})
    {
        addErased(std::move(name), std::move(service), typeid(service_type), std::move(lifeCycle));
    }

    /// The service called @p name. The name must exist and its type match.
    template <typename service_type>
    service_type &find(std::string_view name) const
    {
        return *static_cast<service_type *>(findErased(name, typeid(service_type)));
    }

    /// Starts all services. Returns the first error, after stopping the services already started.
    result<void> start();

    /// Stops the started services in reverse order. Safe to call twice.
    void stop();

private:
    kernel();
    void addErased(std::string name, std::shared_ptr<void> service, const std::type_info &type,
                   hooks lifeCycle);
    void *findErased(std::string_view name, const std::type_info &type) const;

    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace quincefall
