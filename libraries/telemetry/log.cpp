#include "telemetry/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <array>
#include <list>

namespace caraway {

namespace {

log4cxx::LevelPtr to_level(log_level level) {
    static std::array<log4cxx::LevelPtr, 5> const levels{
        log4cxx::Level::getTrace(), log4cxx::Level::getDebug(), log4cxx::Level::getInfo(),
        log4cxx::Level::getWarn(), log4cxx::Level::getError()};
    return levels.at(static_cast<std::size_t>(level));
}

log4cxx::LoggerPtr logger() {
    static log4cxx::LoggerPtr const instance = log4cxx::Logger::getLogger("caraway");
    return instance;
}

} // namespace

void open_log(std::string const& level) {
    auto const layout = std::make_shared<log4cxx::JSONLayout>();
    auto const appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out");
    log4cxx::Logger::getRootLogger()->addAppender(appender);
    set_log_level(level);
}

void set_log_level(std::string const& level) {
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

void write_log(log_entry const& entry) {
    auto const level = to_level(entry.level);
    if (!logger()->isEnabledFor(level)) {
        return;
    }
    // JSONLayout writes the thread's mapped diagnostic context (MDC) as the fields of the line.
    std::list<log4cxx::MDC> context;
    for (auto const& field : entry.fields) {
        context.emplace_back(field.name, field.value);
    }
    logger()->forcedLog(level, entry.event);
}

} // namespace caraway
