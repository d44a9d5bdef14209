// The form of answers to callers.
#include "daemon/calleranswer.h"

#include <nlohmann/json.hpp>

namespace comfrey {

namespace {

struct ErrorForm
{
    CallerError error;
    unsigned status;
    const char *code;
};

constexpr ErrorForm kErrorForms[] = {
    {CallerError::None, 500, "none"},
    {CallerError::Malformed, 400, "malformed"},
    {CallerError::UnknownKey, 401, "unknown_key"},
    {CallerError::NotEntitled, 403, "not_entitled"},
    {CallerError::NotFound, 404, "not_found"},
    {CallerError::KeyReused, 409, "idempotency_key_reused"},
    {CallerError::StillRunning, 409, "still_running"},
    {CallerError::TooLarge, 413, "too_large"},
    {CallerError::KeyRequired, 400, "idempotency_key_required"},
    {CallerError::KeyExpired, 400, "idempotency_key_expired"},
    {CallerError::OverShare, 429, "over_share"},
    {CallerError::Quarantined, 422, "quarantined"},
    {CallerError::OutOfContract, 503, "out_of_contract"},
    {CallerError::NoBackend, 503, "no_backend"},
    {CallerError::LogUnavailable, 503, "log_unavailable"},
    {CallerError::Stopping, 503, "stopping"},
    {CallerError::BackendFailed, 502, "backend_failed"},
    {CallerError::OutcomeUnknown, 504, "outcome_unknown"},
};

const ErrorForm &formOf(CallerError error)
{
    for (const ErrorForm &form : kErrorForms) {
        if (form.error == error)
            return form;
    }
    return kErrorForms[0];
}

const char *typeOf(unsigned status)
{
    return status < 500 ? "invalid_request_error" : "server_error";
}

nlohmann::json errorBody(const AnswerCaller &answer)
{
    const ErrorForm &form = formOf(answer.error);
    return {{"error",
             {{"message", answer.text},
              {"type", typeOf(form.status)},
              {"code", form.code},
              {"outcome", textOf(answer.outcome)}}}};
}

nlohmann::json chunk(const Exchange &exchange, nlohmann::json delta, nlohmann::json finishReason)
{
    return {{"id", exchange.request().value()},
            {"object", "chat.completion.chunk"},
            {"model", exchange.detail().model.value()},
            {"choices",
             {{{"index", 0},
               {"delta", std::move(delta)},
               {"finish_reason", std::move(finishReason)}}}}};
}

nlohmann::json usageOf(const AttemptSummary &summary)
{
    return {{"prompt_tokens", summary.promptTokens},
            {"completion_tokens", summary.completionTokens},
            {"total_tokens", summary.promptTokens + summary.completionTokens},
            {"cached_tokens", summary.cachedTokens}};
}

std::string eventOf(const nlohmann::json &data)
{
    return "data: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

/// Whole seconds, rounded up: the header has no smaller unit.
std::string retryAfterSeconds(Duration delay)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

} // namespace

unsigned statusOf(CallerError error)
{
    return formOf(error).status;
}

const char *codeOf(CallerError error)
{
    return formOf(error).code;
}

const char *textOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::vector<HttpField> outcomeFields(const RequestId &request, Outcome outcome)
{
    return {{"X-Request-Id", request.value()}, {"X-Comfrey-Outcome", textOf(outcome)}};
}

CallerResponse jsonResponse(unsigned status, const std::string &json)
{
    return {status, {{"Content-Type", "application/json"}}, json};
}

CallerResponse errorResponse(const RequestId &request, const AnswerCaller &answer)
{
    CallerResponse response = jsonResponse(
        statusOf(answer.error),
        errorBody(answer).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    for (HttpField &field : outcomeFields(request, answer.outcome))
        response.fields.push_back(std::move(field));
    if (answer.retryAfter) {
        response.fields.push_back({"Retry-After", retryAfterSeconds(*answer.retryAfter)});
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(*answer.retryAfter);
        response.fields.push_back({"X-Retry-After-Ms", std::to_string(delay.count())});
    }
    return response;
}

std::string errorEvent(const RequestId &request, const AnswerCaller &answer)
{
    nlohmann::json body = errorBody(answer);
    body["id"] = request.value();
    return eventOf(body);
}

std::string tokenEvent(const Exchange &exchange, const std::string &text)
{
    return eventOf(chunk(exchange, {{"content", text}}, nullptr));
}

std::string lastEvents(const Exchange &exchange, const AttemptSummary &summary)
{
    nlohmann::json last = chunk(exchange, nlohmann::json::object(), summary.finishReason);
    last["usage"] = usageOf(summary);
    return eventOf(last) + "data: [DONE]\n\n";
}

std::string wholeChat(const Exchange &exchange, const std::string &text,
                      const AttemptSummary &summary)
{
    const nlohmann::json body = {{"id", exchange.request().value()},
                                 {"object", "chat.completion"},
                                 {"model", exchange.detail().model.value()},
                                 {"choices",
                                  {{{"index", 0},
                                    {"message", {{"role", "assistant"}, {"content", text}}},
                                    {"finish_reason", summary.finishReason}}}},
                                 {"usage", usageOf(summary)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace comfrey
