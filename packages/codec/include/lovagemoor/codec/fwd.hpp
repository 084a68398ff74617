#pragma once

namespace lovagemoor::codec {

enum class codec_error;

} // namespace lovagemoor::codec
