#include <gateway/logduty.h>

#include <gateway/gatewayconstants.h>
#include <logging/log.h>
#include <logservice/logclient.h>
#include <logservice/platformerror.h>

#include <boost/leaf.hpp>

#include <algorithm>

namespace Gateway {

namespace Internal {

namespace leaf = boost::leaf;

constexpr Utils::Duration pauseAfterFailure = std::chrono::milliseconds(50);
constexpr Utils::Duration appendPause = std::chrono::milliseconds(100);
constexpr std::size_t maxQueuedAppends = 256;
constexpr unsigned maxAppendAttempts = 3;

/// Whether the same text can be sent again: the fold ignores a repeat.
bool worthRepeating(LogService::PlatformError error)
{
    return error == LogService::PlatformError::AnswerLost || error == LogService::PlatformError::Timeout
        || error == LogService::PlatformError::Unavailable;
}

} // namespace Internal

LogDuty::LogDuty(
    const DaemonSettings& settings, GatewayMetrics& metrics, std::function<bool(ControlEvent)> toControl)
    : endpoint { { settings.log.address, settings.log.port }, settings.logStream }
    , metrics(metrics)
    , toControl(std::move(toControl))
    , appends(Internal::maxQueuedAppends)
{
}

LogDuty::~LogDuty() { this->stop(); }

void LogDuty::start()
{
    this->reader = std::thread([this] { this->readLoop(); });
    this->appender = std::thread([this] { this->appendLoop(); });
}

void LogDuty::stop()
{
    this->stopping = true;
    this->appends.close();
    if (this->reader.joinable())
        this->reader.join();
    if (this->appender.joinable())
        this->appender.join();
}

bool LogDuty::append(std::string text) { return this->appends.push(std::move(text)); }

void LogDuty::readLoop()
{
    while (!this->stopping)
        this->readOnce();
}

void LogDuty::readOnce()
{
    namespace leaf = boost::leaf;
    this->metrics.counters.add(Counter::LogReads);
    leaf::try_handle_all(
        [this]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(answer,
                LogService::readRecords(this->endpoint, this->next, logReadLimit,
                    std::chrono::milliseconds(logWaitMilliseconds), platformTimeout));
            if (answer.records.empty())
                return {};
            this->next = answer.records.back().offset + 1;
            this->send(LogRead { answer.kept.first, std::move(answer.records) });
            return {};
        },
        [this](LogService::PlatformError error, const LogService::KeptRange& kept) {
            if (error == LogService::PlatformError::Expired && kept.first > this->next) {
                this->next = kept.first;
                this->send(LogExpired { kept.first });
            }
        },
        [this](LogService::PlatformError error) {
            this->metrics.counters.add(Counter::LogReadsFailed);
            Logging::write(Logging::Level::Debug, "log_read_failed",
                { { "error", Utils::enumName(LogService::platformErrorNames, error) } });
            std::this_thread::sleep_for(Internal::pauseAfterFailure);
        },
        [this]() { this->metrics.counters.add(Counter::LogReadsFailed); });
}

void LogDuty::appendLoop()
{
    while (!this->stopping) {
        const std::optional<std::string> text = this->appends.popFor(Internal::appendPause);
        if (text)
            this->appendOnce(*text);
    }
}

void LogDuty::appendOnce(const std::string& text)
{
    namespace leaf = boost::leaf;
    bool repeat = true;
    for (unsigned attempt = 0; repeat && attempt < Internal::maxAppendAttempts && !this->stopping;
         ++attempt) {
        this->metrics.counters.add(Counter::LogAppends);
        repeat = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(LogService::appendRecord(this->endpoint, text, platformTimeout));
                return false;
            },
            [this](LogService::PlatformError error) {
                this->metrics.counters.add(Counter::LogAppendsFailed);
                Logging::write(Logging::Level::Warning, "log_append_failed",
                    { { "error", Utils::enumName(LogService::platformErrorNames, error) } });
                return Internal::worthRepeating(error);
            },
            []() { return false; });
        if (repeat)
            std::this_thread::sleep_for(Internal::appendPause);
    }
}

void LogDuty::send(const ControlEvent& event)
{
    while (!this->stopping && !this->toControl(event)) {
        this->metrics.counters.add(Counter::RingFull);
        std::this_thread::yield();
    }
}

} // namespace Gateway
