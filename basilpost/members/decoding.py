"""The interface that turns the platform's objects into records."""

import abc
import dataclasses

from basilpost.core import catalog, failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreLayout:
    """Where the platform's store keeps what nodes follow.

    Attributes:
        configuration_key: Key of the operators' configuration.
        configuration_prefix: Prefix that it lies below.
        vm_prefix: Prefix of the entries of VMs, each under the id of its runner.
        out_of_service_prefix: Prefix of the failure domains that are out of service.
    """

    configuration_key: str
    configuration_prefix: str
    vm_prefix: str
    out_of_service_prefix: str


class Decoder(abc.ABC):
    """Decodes the platform's objects."""

    @property
    @abc.abstractmethod
    def layout(self) -> StoreLayout:
        """Returns the keys and prefixes."""

    @abc.abstractmethod
    def configuration(self, raw: bytes) -> catalog.Configuration | failure.Failure:
        """Decodes the operators' configuration."""

    @abc.abstractmethod
    def vm(self, vm_id: str, raw: bytes) -> catalog.Vm | failure.Failure:
        """Decodes a VM's entry."""
