"""Translation between the users' platform and the product.

The names of the platform's pages stay in this package. It decides
nothing: it decodes what comes into types of the product and encodes what
goes out.
"""
