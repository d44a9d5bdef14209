// Reads the operator's configuration from the users' platform.
#pragma once

#include <string>

#include "comfrey/error.h"
#include "comfrey/ids.h"

namespace comfrey::ctl {

/// The newest configuration in the store, as JSON. Unavailable if the store does not answer,
/// NotFound if it holds no configuration.
Result<std::string> fetchConfigInForce(const Endpoint &store);

} // namespace comfrey::ctl
