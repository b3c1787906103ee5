"""XXH64 (seed 0) in plain Python, to check the stand-in engine's answers."""

MASK = (1 << 64) - 1
PRIMES = (
    0x9E3779B185EBCA87,
    0xC2B2AE3D27D4EB4F,
    0x165667B19E3779F9,
    0x85EBCA77C2B2AE63,
    0x27D4EB2F165667C5,
)
STRIPE_BYTES = 32


def _rotate(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & MASK


def _round(accumulator, lane):
    mixed = (accumulator + lane * PRIMES[1]) & MASK
    return (_rotate(mixed, 31) * PRIMES[0]) & MASK


def _merge(accumulator, lane):
    return (((accumulator ^ _round(0, lane)) * PRIMES[0]) + PRIMES[3]) & MASK


def _consume_stripes(data):
    lanes = [(PRIMES[0] + PRIMES[1]) & MASK, PRIMES[1], 0, -PRIMES[0] & MASK]
    position = 0
    while position + STRIPE_BYTES <= len(data):
        for index in range(4):
            word = int.from_bytes(data[position:position + 8], "little")
            lanes[index] = _round(lanes[index], word)
            position += 8
    value = sum(_rotate(lane, bits) for lane, bits in zip(lanes, (1, 7, 12, 18))) & MASK
    for lane in lanes:
        value = _merge(value, lane)
    return value, position


def _consume_rest(value, data):
    position = 0
    while position + 8 <= len(data):
        value ^= _round(0, int.from_bytes(data[position:position + 8], "little"))
        value = (_rotate(value, 27) * PRIMES[0] + PRIMES[3]) & MASK
        position += 8
    if position + 4 <= len(data):
        word = int.from_bytes(data[position:position + 4], "little")
        value ^= (word * PRIMES[0]) & MASK
        value = (_rotate(value, 23) * PRIMES[1] + PRIMES[2]) & MASK
        position += 4
    for byte in data[position:]:
        value ^= (byte * PRIMES[4]) & MASK
        value = (_rotate(value, 11) * PRIMES[0]) & MASK
    return value


def xxh64(data):
    """Returns the 64-bit hash of the bytes `data`."""
    value, position = PRIMES[4], 0
    if len(data) >= STRIPE_BYTES:
        value, position = _consume_stripes(data)
    value = (value + len(data)) & MASK
    value = _consume_rest(value, data[position:])
    value = ((value ^ (value >> 33)) * PRIMES[1]) & MASK
    value = ((value ^ (value >> 29)) * PRIMES[2]) & MASK
    return value ^ (value >> 32)
