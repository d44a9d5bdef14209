// The form of answers to callers: status, headers, and errors in OpenAI's form.
#pragma once

#include <string>

#include <httplib.h>

#include "comfrey/actions.h"
#include "daemon/exchange.h"

namespace comfrey {

/// HTTP status of an error.
int statusOf(CallerError error);
/// Stable code of an error in the answer's body.
const char *codeOf(CallerError error);
const char *textOf(Outcome outcome);

/// Answers with an error. `request` may be empty if the request never got an id.
void answerError(httplib::Response &response, const RequestId &request, const AnswerCaller &answer);

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
