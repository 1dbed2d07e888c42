#pragma once

namespace LogService::Internal {

/// The methods that the platform's services use.
enum class HttpMethod { Get, Post };

} // namespace LogService::Internal
