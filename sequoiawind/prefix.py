"""Hash chains over prompt prefixes.

A prompt is cut into blocks of equal length; each block's hash covers all the
text before it, so two prompts share a hash exactly where they share a prefix.
The chain starts from a salt of client account, model, adapter and weights
version: prefixes of different accounts or versions never share a hash.
"""

from typing import Final

from xxhash import xxh3_64_intdigest

from sequoiawind import defaults

_SEPARATOR: Final = "\x1f"


def cache_salt(account: str, model: str, adapter: str, version: str) -> str:
    """Return the salt that separates prompts that must not share blocks."""
    joined = _SEPARATOR.join((account, model, adapter, version))
    return f"{xxh3_64_intdigest(joined.encode()):016x}"


def chain(
    salt: str,
    prompt: bytes,
    block_bytes: int = defaults.PLACEMENT_BLOCK_BYTES,
    limit: int = defaults.MAX_CHAIN_BLOCKS,
) -> list[int]:
    """Return the hash of each whole block of a prompt.

    Args:
      salt: The result of `cache_salt`.
      prompt: The prompt in UTF-8.
      block_bytes: Bytes in a block.
      limit: The largest number of blocks to hash.

    Returns:
      One 64-bit hash for each block; the last, partial block has none.
    """
    previous = xxh3_64_intdigest(salt.encode())
    hashes: list[int] = []
    count = min(len(prompt) // block_bytes, limit)
    for index in range(count):
        block = prompt[index * block_bytes : (index + 1) * block_bytes]
        previous = xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return hashes


def count_tokens(text: bytes) -> int:
    """Return the number of tokens in a text, estimated from its bytes."""
    return -(-len(text) // defaults.BYTES_PER_TOKEN)
