#pragma once

namespace Platform::Internal {

/// The methods that the platform's services use.
enum class HttpMethod { Get, Post };

} // namespace Platform::Internal
