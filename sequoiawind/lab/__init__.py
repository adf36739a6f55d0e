"""Models, stand-ins and experiments; production code imports none of them."""
