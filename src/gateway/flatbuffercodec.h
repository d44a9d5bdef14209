// Encodes and decodes the FlatBuffers messages between routers.
#pragma once

#include <optional>
#include <string>

#include <flatbuffers/flatbuffers.h>

namespace comfrey {

/// The object as the bytes of a FlatBuffers message with the root type `Table`.
template<typename Table>
std::string encodeFlatBuffer(const typename Table::NativeTableType &object)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &object));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// The object in `bytes`. Empty if they are not a valid message with the root type `Table`.
template<typename Table>
std::optional<typename Table::NativeTableType> decodeFlatBuffer(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return std::nullopt;
    typename Table::NativeTableType object;
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&object);
    return object;
}

} // namespace comfrey
