// Turns an HTTP request of a caller into what decisions need and what back ends are sent.
#pragma once

#include <string>
#include <string_view>

#include "comfrey/error.h"
#include "comfrey/events.h"
#include "daemon/exchange.h"
#include "traffic/httphead.h"

namespace comfrey {

/// Why a request is refused before any decision sees it.
struct RequestFault
{
    CallerError error = CallerError::Malformed;
    std::string text;
};

struct ParsedRequest
{
    CallerRequest detail;
    ForwardedRequest forwarded;
};

/// A chat in OpenAI's form. The engine is always asked for a stream, so that a broken answer can go
/// on at another engine.
tl::expected<ParsedRequest, RequestFault> parseChat(const HttpHead &head, std::string_view body);

/// A call to a plain service under /v1/services/NAME/...
tl::expected<ParsedRequest, RequestFault> parseServiceCall(const HttpHead &head, std::string body);

/// The hash of the bearer key, or an empty one if there is none.
ApiKeyHash apiKeyOf(const HttpHead &head);

} // namespace comfrey
