// The form of answers to callers: status, headers, and errors in OpenAI's form.
#pragma once

#include <string>
#include <vector>

#include "comfrey/actions.h"
#include "daemon/exchange.h"
#include "traffic/httphead.h"

namespace comfrey {

/// A whole response to a caller.
struct CallerResponse
{
    unsigned status = 200;
    std::vector<HttpField> fields;
    std::string body;
};

/// HTTP status of an error.
unsigned statusOf(CallerError error);
/// Stable code of an error in the answer's body.
const char *codeOf(CallerError error);
const char *textOf(Outcome outcome);

/// The fields that every response about a request carries.
std::vector<HttpField> outcomeFields(const RequestId &request, Outcome outcome);
CallerResponse jsonResponse(unsigned status, const std::string &json);
CallerResponse errorResponse(const RequestId &request, const AnswerCaller &answer);

/// The error as the last event of a stream that began well.
std::string errorEvent(const RequestId &request, const AnswerCaller &answer);
/// One token as an event of the stream.
std::string tokenEvent(const Exchange &exchange, const std::string &text);
/// The last events of a whole stream.
std::string lastEvents(const Exchange &exchange, const AttemptSummary &summary);
/// A whole answer of a chat that was not streamed.
std::string wholeChat(const Exchange &exchange, const std::string &text,
                      const AttemptSummary &summary);

} // namespace comfrey
