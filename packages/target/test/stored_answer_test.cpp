#include "stored_answer.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace core = lovagemoor::core;
using lovagemoor::target::internal::decode_answer;
using lovagemoor::target::internal::encode_answer;
using lovagemoor::target::internal::stored_answer;

namespace {

struct answer_case {
    const char* name;
    stored_answer answer;
};

std::ostream& operator<<(std::ostream& output, const answer_case& item) {
    return output << item.name;
}

const std::vector<answer_case> answers{
    {"empty", {}},
    {"affected rows", {{}, 7}},
    {"columns without rows", {{{"a", "b"}, {}}, 0}},
    {"null and empty values", {{{"a", "b"}, {{std::nullopt, ""}, {"x", "y"}}}, 2}},
    {"bytes of all kinds", {{{"a"}, {{std::string("\0\n\xff'\\", 5)}}}, 0}},
};

const std::vector<std::string> invalid_texts{"0", "0g", "zz", " 00", "ff"};

} // namespace

BOOST_AUTO_TEST_SUITE(stored_answers)

// Guards against a repeated request that receives a different answer from the first one, because
// the answer changed in storage.
BOOST_DATA_TEST_CASE(answer_is_equal_after_storage, boost::unit_test::data::make(answers), item) {
    const std::string text = encode_answer(item.answer);
    BOOST_TEST((text.find_first_not_of("0123456789abcdef") == std::string::npos));
    BOOST_TEST((decode_answer(text) == item.answer));
}

// Guards against decoding an answer from text that encode_answer() did not produce.
BOOST_DATA_TEST_CASE(invalid_text_is_refused, boost::unit_test::data::make(invalid_texts), text) {
    BOOST_TEST(!decode_answer(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
