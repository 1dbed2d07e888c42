#include <logging/stdoutdispatch.h>

#include <string>

#include <poll.h>
#include <unistd.h>

namespace Logging::Internal {

namespace {

/// A pipe that is ready takes at least this many bytes without blocking (PIPE_BUF).
constexpr std::size_t writableBytes = 4096;

bool isWritable()
{
    pollfd output { STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

void StdoutDispatch::handle(const el::LogDispatchData* data)
{
    const std::string line = data->logMessage()->message().substr(0, writableBytes - 1) + '\n';
    // A line that can't be written is lost: there is nowhere else to tell of it.
    if (isWritable() && ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        return;
}

} // namespace Logging::Internal
