// Whether the lists allow a request at all: key, model, adapter, service and size.
#pragma once

#include <optional>
#include <string>

#include "comfrey/actions.h"
#include "comfrey/events.h"
#include "comfrey/lists.h"

namespace comfrey {

/// Why a request is not taken. The request was certainly not sent anywhere.
struct Refusal
{
    CallerError error = CallerError::None;
    std::string text;
    std::optional<Duration> retryAfter;
};

/// Returns why the lists forbid the request, or nothing if they allow it.
std::optional<Refusal> refusalByLists(const CallerRequest &request, const ListsView &lists);

} // namespace comfrey
