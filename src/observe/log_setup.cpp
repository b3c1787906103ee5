#include "observe/log_setup.h"

#include "observe/output_appender.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace quincefall {
namespace {

constexpr const char *linePattern = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %m%n";

log4cxx::LoggerPtr rootLogger()
{
    return log4cxx::Logger::getRootLogger();
}

log4cxx::AppenderPtr makeAppender(const std::string &target)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    if (target == "stdout")
        return makeOutputAppender(layout);
    if (target == "stderr")
        return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                          log4cxx::ConsoleAppender::getSystemErr());
    return std::make_shared<log4cxx::FileAppender>(layout, target, true);
}

std::string formatLine(std::string_view event, const log_fields &fields)
{
    std::string line(event);
    for (const auto &[name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        line += value;
    }
    return line;
}

} // namespace

result<void> setUpLog(const std::string &target, const std::string &level)
{
    try {
        const auto root = rootLogger();
        root->removeAllAppenders();
        root->addAppender(makeAppender(target));
        root->setLevel(log4cxx::Level::toLevel(level));
    } catch (const std::exception &failure) {
        return makeError(result_code::settingsInvalid, failure.what());
    }
    return {};
}

void logInfo(std::string_view event, const log_fields &fields)
{
    rootLogger()->info(formatLine(event, fields));
}

void logWarning(std::string_view event, const log_fields &fields)
{
    rootLogger()->warn(formatLine(event, fields));
}

void logError(std::string_view event, const log_fields &fields)
{
    rootLogger()->error(formatLine(event, fields));
}

} // namespace quincefall
