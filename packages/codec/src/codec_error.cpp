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
            return "malformed message";
        case codec_error::missing_field:
            return "missing part";
        case codec_error::unknown_enumerator:
            return "unknown enumerator";
        case codec_error::out_of_range:
            return "value out of range";
        case codec_error::unknown_key:
            return "unknown key";
        case codec_error::key_mismatch:
            return "identifier differs from the key";
        }
        return "unknown error";
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
