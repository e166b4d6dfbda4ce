"""Tests of the encoding of credit messages."""

import pytest

from basilpost.core import codec
from basilpost.groups import credit_messages as messages

WANT = messages.Want(group_id="chat-0123456789ab", generation=3, in_flight=2, wanted=4, cold=True)
ASK = messages.CreditAsk(incarnation="a", number=7, wants=(WANT, WANT))
GRANT = messages.Grant(
    group_id="chat-0123456789ab", generation=3, fence=2, credits=5, bounded=True, load_percent=45
)
REPLY = messages.CreditReply(grants=(GRANT,))


@pytest.mark.parametrize("message", [ASK, REPLY])
def test_a_message_is_the_same_after_encoding_and_decoding(message):
    assert codec.from_msgpack(codec.to_msgpack(message), type(message)) == message


def test_a_target_adds_few_bytes_to_an_ask():
    ask_for_one = messages.CreditAsk(incarnation="a", number=7, wants=(WANT,))
    assert len(codec.to_msgpack(ASK)) - len(codec.to_msgpack(ask_for_one)) < 40


def test_a_record_with_missing_values_is_rejected():
    plain = codec.msgpack_converter().unstructure(ASK)
    plain["wants"] = [list(plain["wants"][0])[:-1]]
    with pytest.raises(Exception, match="Want|CreditAsk"):
        codec.msgpack_converter().structure(plain, messages.CreditAsk)
