#pragma once

#include <declarations/configuration.h>

#include <memory>

namespace Gateway {

/// Control to dispatch: a configuration is in force.
struct ConfigurationChanged {
    std::shared_ptr<const Declarations::Configuration> configuration;
};

} // namespace Gateway
