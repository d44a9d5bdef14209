// Encoding of messages between routers and of log records.
#include "wire/envelope.h"

namespace comfrey {

namespace {

template<typename Table, typename Object>
Bytes encode(const Object &object)
{
    flatbuffers::FlatBufferBuilder builder(256);
    builder.Finish(Table::Pack(builder, &object));
    return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

template<typename Table, typename Object>
Result<Object> decode(const Bytes &payload, const char *kind)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return failure(ErrorCode::MalformedMessage, std::string(kind) + " does not verify");
    Object object;
    flatbuffers::GetRoot<Table>(payload.data())->UnPackTo(&object);
    return object;
}

} // namespace

Bytes encodeEnvelope(const wire::EnvelopeT &envelope)
{
    return encode<wire::Envelope>(envelope);
}

Result<wire::EnvelopeT> decodeEnvelope(const Bytes &payload)
{
    return decode<wire::Envelope, wire::EnvelopeT>(payload, "envelope");
}

Bytes encodeRecord(const record::RecordT &value)
{
    return encode<record::Record>(value);
}

Result<record::RecordT> decodeRecord(const Bytes &payload)
{
    return decode<record::Record, record::RecordT>(payload, "log record");
}

} // namespace comfrey
