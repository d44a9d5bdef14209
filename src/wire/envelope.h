// Encoding of messages between routers and of log records. Bytes from outside are verified before
// they are decoded; what does not verify is an error value.
#pragma once

#include "comfrey/error.h"
#include "comfrey/events.h"
#include "generated/messages.generated.h"
#include "generated/records.generated.h"

namespace comfrey {

Bytes encodeEnvelope(const wire::EnvelopeT &envelope);
Result<wire::EnvelopeT> decodeEnvelope(const Bytes &payload);

Bytes encodeRecord(const record::RecordT &value);
Result<record::RecordT> decodeRecord(const Bytes &payload);

} // namespace comfrey
