"""The interface for decoding the objects in the platform's store."""

import abc
import dataclasses

from basilpost.core import catalog, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreLayout:
    """Keys and prefixes in the platform's store of the objects that nodes follow.

    Attributes:
        configuration_key: Key of the operators' configuration.
        configuration_prefix: Prefix of that key.
        vm_prefix: Prefix of the VMs' entries, each followed by the id of its runner.
        out_of_service_prefix: Prefix of the names of failure domains that are out of service.
    """

    configuration_key: str
    configuration_prefix: str
    vm_prefix: str
    out_of_service_prefix: str


class Decoder(abc.ABC):
    """Decodes the objects in the platform's store."""

    @property
    @abc.abstractmethod
    def layout(self) -> StoreLayout:
        """Returns the keys and prefixes of the platform's store."""

    @abc.abstractmethod
    def configuration(self, raw: bytes) -> catalog.Configuration | failure.Failure:
        """Decodes the operators' configuration; returns a failure if it is malformed."""

    @abc.abstractmethod
    def vm(self, vm_id: str, raw: bytes) -> catalog.Vm | failure.Failure:
        """Decodes a VM's entry; returns a failure if it is malformed."""
