"""Models, stand-ins and experiments; nothing that ships imports them."""
