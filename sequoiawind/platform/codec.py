"""The decoders that the product's readers are given."""

from typing import Final

from sequoiawind.forward_readers import OperatorCodec
from sequoiawind.platform import configuration, names

OPERATOR: Final = OperatorCodec(
    config_key=names.CONFIG_KEY,
    weights_prefix=names.VERSION_KEY_PREFIX,
    config=configuration.decode_configuration,
    weights=configuration.decode_weights,
)
