"""Learns what the predicted time to a first event lacks, from the first events that arrive.

Load pattern: any. The figures of an engine say what reading and writing take, not what its front, its
batching and the way add to each request. That part is nearly the same for all requests of a model, so
it is learned as one offset, as a moving median that single stalls do not change much.
"""

import math

# Step of the moving median for one observation, and its bounds.
STEP_SECONDS = 0.004
MAX_OFFSET_SECONDS = 1.0


class FirstEventOffsets:
    """Offsets by model, 0 until the first event of a model arrives."""

    def __init__(self) -> None:
        self._offset_by_model: dict[str, float] = {}

    def correct(self, model: str, predicted_seconds: float) -> float:
        """Returns the prediction with what was learned for the model."""
        return predicted_seconds + self._offset_by_model.get(model, 0.0)

    def record(self, model: str, *, predicted_seconds: float, seconds: float) -> None:
        """Records the time to a first event.

        Args:
            model: Model of the request.
            predicted_seconds: The corrected prediction.
            seconds: What it took.
        """
        error = seconds - predicted_seconds
        known = self._offset_by_model.get(model)
        step = error if known is None else math.copysign(min(STEP_SECONDS, abs(error)), error)
        self._offset_by_model[model] = min(MAX_OFFSET_SECONDS, max(0.0, (known or 0.0) + step))
