#include <lovagemoor/codec/codec_error.hpp>

#include <string>

namespace lovagemoor::codec {

namespace internal {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "lovagemoor.codec"; }

    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<codec_error>(value)) {
        case codec_error::malformed:
            return "bytes are not a valid message of the expected type";
        case codec_error::missing_field:
            return "a required field is missing or empty";
        case codec_error::unknown_enumerator:
            return "an enumeration field is unspecified or has an unknown value";
        case codec_error::out_of_range:
            return "a number is outside the valid range of its field";
        case codec_error::unknown_key:
            return "key does not match any type of record";
        case codec_error::key_mismatch:
            return "identifier in the value differs from the one in the key";
        }
        return "unknown codec error";
    }
};

} // namespace internal

const std::error_category& codec_category() noexcept {
    static const internal::category instance;
    return instance;
}

std::error_code make_error_code(codec_error error) noexcept {
    return {static_cast<int>(error), codec_category()};
}

} // namespace lovagemoor::codec
