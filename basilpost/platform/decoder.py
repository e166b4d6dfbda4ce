"""Implements the decoder interface of `members.decoding` for the platform's objects."""

from basilpost.core import catalog, failure
from basilpost.members import decoding
from basilpost.platform import decode


class PlatformDecoder(decoding.Decoder):
    """Decodes objects as the users' platform stores them."""

    @property
    def layout(self) -> decoding.StoreLayout:
        """Returns the keys and prefixes under which the platform stores these objects."""
        return decoding.StoreLayout(
            configuration_key=decode.CONFIG_KEY,
            configuration_prefix=decode.CONFIG_PREFIX,
            vm_prefix=decode.VM_PREFIX,
            out_of_service_prefix=decode.EVACUATION_PREFIX,
        )

    def configuration(self, raw: bytes) -> catalog.Configuration | failure.Failure:
        """Decodes the configuration that the operators wrote."""
        return decode.configuration(raw)

    def vm(self, vm_id: str, raw: bytes) -> catalog.Vm | failure.Failure:
        """Decodes the entry of the VM whose runner has the id `vm_id`."""
        return decode.vm(vm_id, raw)
