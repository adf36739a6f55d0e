"""The platform's decoders, for the product's record readers."""

from typing import Final

from sequoiawind.forward_readers import OperatorCodec
from sequoiawind.platform import configuration, names

OPERATOR: Final = OperatorCodec(
    config_key=names.CONFIG_KEY,
    weights_prefix=names.VERSION_KEY_PREFIX,
    config=configuration.decode_configuration,
    weights=configuration.decode_weights,
)
