#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace quincefall {

/// Runs @p task, which nobody waits for. An exception ends it and is logged under @p name.
void startTask(boost::asio::io_context &context, std::string name,
               boost::asio::awaitable<void> task);

/// Runs what @p makeTask returns until it returns by itself. After an exception, which is logged
/// under @p name, it is started again.
void startService(boost::asio::io_context &context, std::string name,
                  std::function<boost::asio::awaitable<void>()> makeTask);

/// Runs the context until it has no more work. Exceptions of its handlers are logged.
void runContext(boost::asio::io_context &context);

} // namespace quincefall
