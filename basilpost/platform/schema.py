"""The platform's object kinds behind the product's decoder interface."""

from basilpost.core import catalog, failure
from basilpost.members import decoding
from basilpost.platform import decode


class PlatformDecoder(decoding.Decoder):
    """Decodes the platform's objects."""

    @property
    def layout(self) -> decoding.StoreLayout:
        """Returns the keys and prefixes."""
        return decoding.StoreLayout(
            configuration_key=decode.CONFIG_KEY,
            configuration_prefix=decode.CONFIG_KIND,
            vm_prefix=decode.VM_KIND,
            out_of_service_prefix=decode.EVACUATION_KIND,
        )

    def configuration(self, raw: bytes) -> catalog.Configuration | failure.Failure:
        """Decodes the operators' configuration."""
        return decode.configuration(raw)

    def vm(self, vm_id: str, raw: bytes) -> catalog.Vm | failure.Failure:
        """Decodes a VM's entry."""
        return decode.vm(vm_id, raw)
